/// @file
/// Limits and addresses of the data plane.
#pragma once

#include <cstddef>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/choice/outlier_detector.hpp"
#include "catkintack/choice/placement.hpp"
#include "catkintack/choice/send_permits.hpp"
#include "catkintack/limits/resend_budget.hpp"
#include "catkintack/serving/upstream_protocol.hpp"

namespace catkintack::serving {

/// @brief Settings of the data plane.
struct serving_options {
  base::address callers;    ///< Listening address for callers.
  base::address readiness;  ///< Listening address for health checks and metrics.
  /// Listening address for calls relayed by other hosts; port 0: none are accepted.
  base::address relays;
  std::string readiness_path = "/readyz";
  base::host_id host;
  base::region_id region;
  base::failure_domain_id failure_domain;
  upstream_protocol protocol;
  /// The deployment has customers: with a table that lists none, calls are refused unless their
  /// route is public.
  bool requires_customers = false;
  choice::placement_options placement;
  choice::outlier_options outlier_detection;
  choice::permit_options permits;
  limits::resend_budget_options repeats;

  /// Retry-After of a quarantined request.
  base::duration quarantine_time = std::chrono::hours(24);

  /// More probes gave no improvement with four upstreams per region.
  std::size_t probes_per_call = 4;
  /// Number of upstreams of a service, in this host's failure domain, that are probed first. With
  /// one call per second and service, each is probed often enough to keep its connection from
  /// reaching the idle timeout.
  std::size_t neighbours = 5;
  /// Probes of upstreams in other regions, whose traffic is billed by volume.
  std::size_t remote_probes_per_call = 2;
  /// Limits of the traffic between regions that this host may cause, which is billed by volume:
  /// sustained bytes per second, and burst in bytes. The rate allows about fifteen calls of 2 KB
  /// per second, the load of one host.
  double remote_bytes_per_second = 30000;
  double remote_bytes_burst = 100000;
  /// Time to wait for all probes; after it one answered probe is sufficient. A round trip within a
  /// region takes 2 to 8 ms.
  base::duration probe_gather_time = std::chrono::milliseconds(15);
  base::duration probe_timeout = std::chrono::milliseconds(60);  ///< A probe then counts as failed.
  base::duration remote_probe_timeout = std::chrono::milliseconds(120);  ///< In other regions.
  base::duration connect_timeout = std::chrono::milliseconds(500);
  base::duration max_idle_time = std::chrono::seconds(8);  ///< Of a connection that is reused.
  std::size_t max_idle_per_upstream = 3;  ///< Size of the connection pool per upstream.
  /// Part of a body, in bytes, that is received before an upstream is selected.
  std::size_t max_buffered_body = 256U << 10U;
  /// Memory for the further parts of bodies that are kept for retries, in bytes, of all calls
  /// together. A call whose body exceeds it is sent once.
  std::size_t max_kept_bodies = 16U << 20U;
  /// Fraction of the route's latency objective for which a call may be held while its upstreams are
  /// busy.
  double hold_share = 0.125;
  double returned_hold_share = 0.125;  ///< The same for a caller that retries after a refusal.
  /// Until a route has had its first response, its work is assumed to be the objective divided by
  /// this.
  int unknown_work_divisor = 3;
  /// A reading of at most this slowness from an idle upstream ends probing immediately.
  double good_slowness = 1.15;

  /// Time from the stop signal until connections are refused. The external load balancer stops
  /// sending new callers only after two failed health checks.
  base::duration stop_accepting_after = std::chrono::milliseconds(3200);
  /// Time from the stop signal until an estimate no longer suffices to send a call to an upstream:
  /// its deadline must then pass before stop_limit.
  base::duration stop_estimates_for = std::chrono::milliseconds(2500);
  base::duration stop_limit = std::chrono::milliseconds(5700);  ///< Open calls are then aborted.
};

}  // namespace catkintack::serving
