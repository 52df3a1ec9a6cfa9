/// @file
/// Where a router stands and how it judges upstreams.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::routing {

/// @brief Options of a router.
struct router_options {
  base::region_id region;                  ///< Upstreams of it come first; empty for no preference.
  base::failure_domain_id failure_domain;  ///< Breaks ties between equals.
  /// Time in which a report loses most of its weight.
  base::duration report_decay_time = std::chrono::milliseconds(100);
  double report_weight = 0.1;     ///< Weight of a new report against the fleet's mean.
  double full_correlation = 0.1;  ///< Of reports with latency, at which reports are followed fully.
  double correlation_weight = 0.01;  ///< Of one answer in that correlation.
  double overdue_weight = 1.0;       ///< Load added per mean latency that an attempt is overdue.
  double overdue_after = 3.0;        ///< Mean latencies after which an attempt is overdue.
  double hedge_quantile = 0.95;      ///< Of a service's latency; a hedge is due after it.
  double failure_load = 4.0;         ///< Load added per failure; it fades.
  base::duration failure_decay_time = std::chrono::seconds(1);
  /// Attempts of this host beyond an upstream's slots that may wait there.
  std::uint32_t waiting_per_upstream = 1;
  std::uint32_t ejection_failures = 5;  ///< Failures in a row that eject an upstream.
  base::duration ejection_time = std::chrono::milliseconds(500);  ///< First ejection; doubles.
  base::duration max_ejection_time = std::chrono::seconds(10);
  double max_ejected_share = 0.5;  ///< Beyond it, ejected upstreams of a region are used again.
  base::duration warm_up =
      std::chrono::milliseconds(500);  ///< Gradual start of new or returned ones.
  base::duration leaving_report_ttl =
      std::chrono::seconds(5);  ///< An upstream's own word holds so.
  base::duration probe_after =
      std::chrono::seconds(1);    ///< Without word for so long, a probe helps.
  double max_remote_share = 0.5;  ///< Attempts to other regions, as a share of choices.
  double remote_burst = 50;       ///< Attempts to other regions beyond the share, at once.
};

}  // namespace catkintack::routing
