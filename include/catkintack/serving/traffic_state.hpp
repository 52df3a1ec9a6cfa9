/// @file
/// State of the data plane that is shared by all calls.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/metric_registry.hpp"
#include "catkintack/choice/crash_ledger.hpp"
#include "catkintack/choice/isolation_detector.hpp"
#include "catkintack/choice/outlier_detector.hpp"
#include "catkintack/choice/relay_hosts.hpp"
#include "catkintack/choice/route_statistics.hpp"
#include "catkintack/choice/send_permits.hpp"
#include "catkintack/choice/service_statistics.hpp"
#include "catkintack/choice/upstream_limits.hpp"
#include "catkintack/choice/upstream_pauses.hpp"
#include "catkintack/choice/wait_probe_budget.hpp"
#include "catkintack/choice/warm_up_limits.hpp"
#include "catkintack/directory/endpoint_directory.hpp"
#include "catkintack/limits/byte_budget.hpp"
#include "catkintack/limits/customer_share.hpp"
#include "catkintack/limits/resend_budget.hpp"
#include "catkintack/logging/structured_log.hpp"
#include "catkintack/routes/route_table.hpp"
#include "catkintack/serving/connection_pool.hpp"
#include "catkintack/serving/customer_statistics.hpp"
#include "catkintack/serving/in_flight_sends.hpp"
#include "catkintack/serving/io.hpp"
#include "catkintack/serving/limit_knowledge.hpp"
#include "catkintack/serving/quota_decision.hpp"
#include "catkintack/serving/serving_options.hpp"
#include "catkintack/serving/stop_stage.hpp"

namespace catkintack::serving {

/// @brief Shared state of the data plane, which runs on a single thread. Not thread-safe.
struct traffic_state {
  traffic_state(serving_options settings,
                base::clock_hook clock_source,
                base::random_hook random_source,
                logging::structured_log& log_target);

  serving_options options;
  base::clock_hook clock;
  base::random_hook random;
  logging::structured_log& log;
  base::metric_registry metrics;

  /// Null until a configuration has been loaded; each call keeps the table it was admitted with.
  std::shared_ptr<const routes::route_table> table;
  directory::endpoint_directory upstreams;

  connection_pool pool;
  choice::route_statistics route_statistics;
  choice::service_statistics service_statistics;
  choice::wait_probe_budget wait_probes;
  customer_statistics customers;
  choice::outlier_detector outlier_detector;
  choice::upstream_pauses pauses;
  choice::upstream_limits upstream_limits;
  choice::send_permits permits;  ///< For the upstreams that named a limit or are cold.
  /// Requests a permit for an upstream unless one is in hand or was requested; may be unset.
  std::function<void(const base::upstream_id&)> request_permit;
  /// Called when the limit of an upstream began, ended or changed; may be unset.
  std::function<void(const base::upstream_id&, limit_observer)> on_limit_changed;
  choice::crash_ledger crashes;  ///< Requests that were lost in crashes of upstreams.
  /// Called when a crash was recorded or received; may be unset.
  std::function<void()> on_crashes_changed;
  /// Called when an upstream answered a request that was suspect; may be unset.
  std::function<void(const choice::crash_record&)> on_request_cleared;
  choice::isolation_detector isolation;
  std::function<void()> on_upstream_unreachable;  ///< May be unset.
  std::function<void()> on_isolated;  ///< Called when this host reaches no upstream; may be unset.
  choice::relay_hosts relays;         ///< Hosts that can serve calls while this one is isolated.
  base::instant last_upstream_response = base::instant::min();  ///< To a call or a probe.
  /// Decides whether a call is within the cap of its customer; unset: all are.
  std::function<asio::awaitable<quota_decision>(const routes::customer_policy&)> admit_customer;
  limits::resend_budget repeats;
  limits::byte_budget remote_bytes;  ///< Budget for traffic between regions.
  limits::customer_share shares;     ///< Of the customers at services short of capacity.
  in_flight_sends in_flight;
  /// Services whose probe responses carry no load header, so that probing gives no information.
  std::map<base::service_id, bool> probes_without_load;
  stop_stage stop = stop_stage::running;
  base::instant stop_began;         ///< Set unless `stop` is running.
  std::size_t open_calls = 0;       ///< Calls received and not yet answered.
  std::size_t kept_body_bytes = 0;  ///< Used of the option max_kept_bodies.

  /// @brief Whether an upstream may be sent calls and probes now.
  bool accepts_requests(const base::upstream_id& id) const {
    const base::instant now = clock();
    return upstreams.is_available(id, now) && !pauses.end_of(id, now);
  }
  /// @brief Returns the calls per second of all hosts together to a cold upstream of a service; 0
  /// if there is no limit or no configuration.
  double warm_up_rate(const base::service_id& service) const;
  /// @brief Returns the limit that applies to an upstream now, or nothing: the one that it named,
  /// or the warm-up rate while it is cold.
  std::optional<choice::send_limit> send_limit_of(const base::upstream_id& id) const;
  /// @brief Whether an upstream is warming up and its service limits the calls to it meanwhile.
  bool is_cold(const base::upstream_id& id) const;
  /// @brief Whether the limit of an upstream, if it has one, allows this host a call now.
  bool within_limit(const base::upstream_id& id) const;
  /// @brief Uses up the permit for one call to an upstream that has a limit.
  /// @return False if the limit does not allow the call.
  bool take_permit(const base::upstream_id& id);
  /// @brief Whether this host can serve calls for others.
  bool can_relay() const { return ready() && !isolation.isolated(); }
  /// @brief Logs requests whose quarantine began or ended, and calls on_crashes_changed.
  void notify_crashes_changed();
  /// @brief Whether the readiness check should direct new callers to this host.
  bool ready() const { return stop == stop_stage::running && table && upstreams.size() > 0; }

 private:
  std::set<base::request_fingerprint> logged_quarantine_;
};

}  // namespace catkintack::serving
