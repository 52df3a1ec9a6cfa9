/// @file
/// A virtual-time fleet: hosts that decide alone in front of the endpoints of one service.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "catkintack/gateway/gateway_action.hpp"
#include "catkintack/gateway/gateway_event.hpp"

namespace catkintack::bench {

/// @brief What goes wrong during a run.
enum class fault { steady, slow, fail_fast, draining, cold_start, region_cut };

/// @brief One cell of the comparison.
struct fleet_options {
  std::uint32_t hosts = 17;
  std::uint32_t endpoints = 12;
  std::uint32_t slots = 2;
  double load = 0.85;                                          ///< Share of all slots.
  base::duration report_delay = std::chrono::milliseconds(1);  ///< Age of a report when sent.
  base::duration mean_work = std::chrono::milliseconds(10);    ///< Exponential.
  base::duration one_way = std::chrono::microseconds(500);     ///< Within the region.
  base::duration remote_one_way = std::chrono::milliseconds(20);
  fault what = fault::steady;
  double idempotent_share = 1.0;
  bool work_per_attempt = false;  ///< A second attempt draws its work anew.
  std::uint32_t requests = 100'000;
  std::uint64_t seed = 1;
};

/// @brief What a run gave.
struct fleet_result {
  std::vector<base::duration> latencies;  ///< Of calls answered without error, sorted.
  std::uint64_t calls = 0;
  std::uint64_t shed = 0;    ///< Calls ended as not run or unknown.
  std::uint64_t errors = 0;  ///< Calls ended with a 5xx answer.
  std::uint64_t attempts = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t remote = 0;  ///< Attempts sent to the other region.
};

/// A host's decisions: an event in, actions out.
using host_policy =
    std::function<std::vector<gateway::gateway_action>(base::instant,
                                                       const gateway::gateway_event&)>;
/// Makes the policy of one host from its seed.
using policy_factory = std::function<host_policy(std::uint64_t seed)>;

/// @brief Runs one cell with a policy on every host.
/// @param options The cell.
/// @param make Makes each host's policy.
/// @return Latencies and counts.
fleet_result run_fleet(const fleet_options& options, const policy_factory& make);

/// @brief Runs one cell with a single queue that knows every slot and speed.
/// @param options The cell; faults other than steady and slow are not modelled.
/// @return Latencies and counts.
fleet_result run_ideal(const fleet_options& options);

}  // namespace catkintack::bench
