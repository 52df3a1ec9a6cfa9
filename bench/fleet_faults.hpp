/// @file
/// Sizes and slow spans that the fleet and the ideal queue share.
#pragma once

#include <random>
#include <vector>

#include "fleet.hpp"
#include "fleet_endpoint.hpp"

namespace catkintack::bench {

inline constexpr base::instant start_time{std::chrono::seconds(1)};  ///< Begin of a run.
inline constexpr std::uint32_t cold_endpoints = 3;                   ///< Listed late, and cold.

/// @brief Rate of arrivals of a cell; the load is that of the endpoints which stay.
/// @param options The cell.
/// @return Calls per second over all hosts.
double calls_per_second(const fleet_options& options);
/// @brief Length of a cell's run.
/// @param options The cell.
/// @return Expected time from the first call to the last.
base::duration run_length(const fleet_options& options);
/// @brief Makes one endpoint at a time slow for 200 ms, with pauses of 0.5 to 1 s.
/// @param endpoints The endpoints.
/// @param random The random source.
/// @param begin When the first pause begins.
/// @param length The time over which spans are planned.
void plan_slow_spans(std::vector<fleet_endpoint>& endpoints,
                     std::mt19937_64& random,
                     base::instant begin,
                     base::duration length);

}  // namespace catkintack::bench
