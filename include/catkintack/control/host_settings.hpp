/// @file
/// Settings of a gateway host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::control {

/// @brief Settings of a host, read from an INI file.
struct host_settings {
  base::host_id host;
  base::region_id region;
  base::failure_domain_id failure_domain;
  bool first_start =
      false;  ///< The whole fleet starts for the first time; there are no callers yet.
  std::map<base::failure_domain_id, base::region_id> regions;  ///< Region of each failure domain.
  base::address callers;                                       ///< Listening address for callers.
  /// Listening address for the balancer's readiness check and for metrics.
  base::address readiness;
  base::address peers;  ///< Listening address for other hosts.
  /// UDP address for the exchange of permits; the same port is used on all hosts. That of `peers`
  /// if not set.
  base::address permits;
  /// Address for calls that other hosts relay (TCP) and for the lookup of such hosts (UDP); the
  /// same port is used on all hosts. Not set: none are relayed.
  base::address relays;
  base::address registry;  ///< Address of the registry of routes and upstreams.
  /// Time from the registry's acceptance of an edit until it is in force on every host.
  base::duration edits_due = std::chrono::seconds(2);
  std::vector<base::address> seeds;  ///< Hosts to synchronize from; these watch the registry.
  double repeat_ratio = 0.2;         ///< Retries per request, over all hosts.
  /// Retries that all hosts together may send in one window beyond the ratio.
  double repeat_slack = 50;
  base::duration repeat_window = std::chrono::seconds(10);
  std::size_t probes_per_call = 4;  ///< Upstreams probed in parallel for one call.
  std::size_t neighbours = 5;       ///< Preferred upstreams of a service, probed first.
  /// Like probes_per_call, for other regions, whose traffic is charged.
  std::size_t remote_probes_per_call = 2;
  /// Pause between the probes of a held call.
  base::duration probe_pause = std::chrono::milliseconds(12);
  /// Fraction of its latency objective that a call may be held while all upstreams are busy.
  double hold_share = 0.125;
  /// Like hold_share, for a caller that retries after a refusal.
  double returned_hold_share = 0.125;
  /// 0: a first attempt is refused instead of being queued at an upstream.
  std::size_t queue_new_calls = 0;
  double remote_bytes_per_second = 30000;  ///< Traffic between regions that this host may cause.
  double remote_bytes_burst = 100000;      ///< Burst size, in bytes, of the same limit.
  /// Largest exchange, in bytes, that may leave the region.
  std::uint64_t remote_byte_limit = 9000;
  base::duration min_retry_after = std::chrono::milliseconds(30);  ///< Lower bound of Retry-After.
  /// Upper bound of Retry-After, before jitter.
  base::duration max_retry_after = std::chrono::milliseconds(1500);
  /// Time until a draining upstream has no work.
  base::duration drain_timeout = std::chrono::seconds(2);
  /// Window of the customers' caps over all hosts. 0: the deployment has no customers.
  base::duration quota_window{};
  double quota_overshoot = 0;  ///< Fraction by which a cap may be exceeded in a window.
  double quota_slack = 0;      ///< Calls by which it may be exceeded beyond that.
  /// Fraction of probes without a free slot from which a service is shared between customers.
  /// Above 1: never.
  double share_min_saturation = 2;
  /// Time from the registry's acceptance of an evacuation until it is in force on every host. 0:
  /// the deployment has no evacuations and no regions of residence.
  base::duration evacuation_limit{};
  /// From the stop signal until the process is killed.
  base::duration stop_limit = std::chrono::seconds(6);
};

/// @brief Why a settings file was rejected.
struct host_settings_error {
  std::string message;  ///< All problems, one per line, with file and key.
};

}  // namespace catkintack::control
