/// @file
/// A fleet simulated in virtual time: hosts that choose independently among the endpoints of one
/// service.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "catkintack/gateway/gateway_action.hpp"
#include "catkintack/gateway/gateway_event.hpp"

namespace catkintack::bench {

/// @brief The fault injected during a run.
enum class fault { steady, slow, fail_fast, draining, cold_start, region_cut };

/// @brief The parameters of one cell of the comparison.
struct fleet_options {
  std::uint32_t hosts = 17;
  std::uint32_t endpoints = 12;
  std::uint32_t slots = 2;
  double load = 0.85;  ///< Fraction of all slots.
  base::duration report_delay =
      std::chrono::milliseconds(1);  ///< Age of a load report when it is sent.
  base::duration mean_work = std::chrono::milliseconds(10);  ///< Of an exponential distribution.
  base::duration one_way_latency = std::chrono::microseconds(500);  ///< Within the region.
  base::duration remote_one_way_latency = std::chrono::milliseconds(20);
  fault injected_fault = fault::steady;
  double idempotent_share = 1.0;
  bool work_per_attempt = false;  ///< A retry samples a new amount of work.
  std::uint32_t requests = 100'000;
  std::uint64_t seed = 1;
};

/// @brief The latencies and counts of a run.
struct fleet_result {
  std::vector<base::duration> latencies;  ///< Sorted; only calls answered without an error.
  std::uint64_t calls = 0;
  std::uint64_t shed = 0;    ///< Calls that ended as not run or unknown.
  std::uint64_t errors = 0;  ///< Calls that ended with a 5xx response.
  std::uint64_t attempts = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t remote = 0;  ///< Attempts sent to the other region.
};

/// The policy of one host: maps an event to the resulting actions.
using host_policy =
    std::function<std::vector<gateway::gateway_action>(base::instant,
                                                       const gateway::gateway_event&)>;
/// Creates the policy of one host from a seed.
using policy_factory = std::function<host_policy(std::uint64_t seed)>;

/// @brief Simulates one cell with its own policy instance on every host.
fleet_result run_fleet(const fleet_options& options, const policy_factory& make);

/// @brief Simulates one cell with a single queue that knows every free slot and slow endpoint.
/// @param options The cell; only the faults steady and slow are modelled.
fleet_result run_ideal(const fleet_options& options);

}  // namespace catkintack::bench
