/// @file
/// Location of a router and parameters of upstream selection.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::routing {

/// @brief Options of a router.
struct router_options {
  base::region_id region;                  ///< Preferred region; empty for no preference.
  base::failure_domain_id failure_domain;  ///< Of this host; the router does not use it.
  /// Time constant of the exponential decay of a report's weight.
  base::duration report_decay_time = std::chrono::milliseconds(100);
  double report_weight = 0.1;        ///< Weight of load reports in the score of an upstream.
  double full_correlation = 0.1;     ///< Correlation of reports and latency for full weight.
  double correlation_weight = 0.01;  ///< Weight of one response in that correlation.
  double overdue_weight = 1.0;   ///< Load added per mean latency by which an attempt is overdue.
  double overdue_after = 3.0;    ///< Mean latencies after which an attempt is overdue.
  double hedge_quantile = 0.95;  ///< Latency quantile after which a hedge is due.
  double failure_load = 4.0;     ///< Load added per failure; it decays.
  base::duration failure_decay_time = std::chrono::seconds(1);
  /// Attempts of this host that may queue at an upstream beyond its slots.
  std::uint32_t waiting_per_upstream = 1;
  std::uint32_t ejection_failures = 5;  ///< Consecutive failures that eject an upstream.
  base::duration ejection_time = std::chrono::milliseconds(500);  ///< Doubles with each ejection.
  base::duration max_ejection_time = std::chrono::seconds(10);
  double max_ejected_share = 0.5;  ///< Above it, ejected upstreams of a region are used again.
  base::duration warm_up =
      std::chrono::milliseconds(500);  ///< Ramp-up of new or readmitted upstreams.
  base::duration leaving_report_ttl =
      std::chrono::seconds(5);  ///< Validity of an upstream's own report that it is leaving.
  base::duration probe_after =
      std::chrono::seconds(1);    ///< Time without contact after which to probe.
  double max_remote_share = 0.5;  ///< Attempts to other regions, as a share of selections.
  double remote_burst = 50;       ///< Burst of attempts to other regions beyond the share.
};

}  // namespace catkintack::routing
