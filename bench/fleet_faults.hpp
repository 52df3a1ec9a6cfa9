/// @file
/// Arrival rate, run length and slow windows shared by the fleet and the ideal queue.
#pragma once

#include <random>
#include <vector>

#include "fleet.hpp"
#include "fleet_endpoint.hpp"

namespace catkintack::bench {

inline constexpr base::instant start_time{std::chrono::seconds(1)};  ///< Start of a run.
inline constexpr std::uint32_t cold_endpoints = 3;  ///< Listed late and slow at first.

/// @brief Returns the arrival rate of a cell in calls per second over all hosts. The load refers to
/// the endpoints that are available during the whole run.
double calls_per_second(const fleet_options& options);
/// @brief Expected time from the first call of a run to the last.
base::duration run_length(const fleet_options& options);
/// @brief Adds slow windows of 200 ms to one random endpoint at a time, with pauses of 0.5 to 1 s.
/// @param begin When the first pause starts.
/// @param length The period over which windows are planned.
void plan_slow_windows(std::vector<fleet_endpoint>& endpoints,
                       std::mt19937_64& random,
                       base::instant begin,
                       base::duration length);

}  // namespace catkintack::bench
