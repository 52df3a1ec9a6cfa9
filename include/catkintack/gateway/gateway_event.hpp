/// @file
/// Events handled by the decision core.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/config/lists.hpp"
#include "catkintack/delivery/final_response.hpp"
#include "catkintack/delivery/handed_over_table.hpp"
#include "catkintack/delivery/upstream_response.hpp"
#include "catkintack/limits/demand_report.hpp"
#include "catkintack/routing/attempt_result.hpp"
#include "catkintack/routing/load_report.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::gateway {

/// @brief A complete request has arrived from a caller.
struct call_arrived {
  base::call_id call;
  base::request_id request;  ///< Empty if the caller sent none.
  std::string key_hash;      ///< SHA-256 of the customer's key; empty without a key.
  base::service_id service;
  bool idempotent = false;                  ///< By the method or the service's setting.
  std::optional<base::duration> time_left;  ///< Until the caller's deadline; none for the default.
  std::uint64_t fingerprint = 0;  ///< Hash of method, target and body; a repeat must match it.
  bool forwarded = false;         ///< Forwarded by another host; never forwarded again.
  std::uint32_t depth = 0;        ///< Gateways that the call has crossed before this one.
  /// Extra attempts that the level above allows to this level and all below.
  std::optional<std::uint32_t> retries_left;
};

/// @brief An attempt started by send_attempt has ended.
struct attempt_ended {
  base::call_id call;
  base::attempt_number attempt;
  routing::attempt_result result = routing::attempt_result::broken;
  delivery::shared_upstream_response upstream_response;  ///< Set if the result is answered.
  std::optional<routing::load_report> load;   ///< The upstream's load report, if it sent one.
  std::optional<base::duration> retry_after;  ///< Retry delay requested by the upstream.
  bool shed = false;  ///< Refused because of load; must not be retried here.
};

/// @brief Time has advanced; sent every few milliseconds.
struct tick {};

/// @brief New configuration lists are in force on this host.
struct lists_adopted {
  config::shared_lists lists;
};

/// @brief The upstreams currently on the host list.
struct upstreams_listed {
  std::vector<routing::upstream_record> upstreams;
};

/// @brief The number of gateway hosts that share the allowances, including this one.
struct host_count_changed {
  std::uint32_t live_hosts = 1;
  std::uint32_t listed_hosts = 0;  ///< Hosts on the host list; 0 while it cannot be read.
};

/// @brief A call forwarded by forward_call has ended.
struct forward_ended {
  base::call_id call;
  /// None if the other host sent no complete response.
  std::optional<delivery::final_response> response;
};

/// @brief This host is leaving: open calls are cut at a time, so that calls with later deadlines
/// are no longer started.
struct leave_begun {
  base::instant cut_at{};
};

/// @brief A planned stop of this host has begun: requests with new ids are no longer run.
struct stop_begun {};

/// @brief Another incarnation has stopped and handed its finished ids over to this host.
struct handed_over {
  delivery::hand_over_part part;
};

/// @brief Another incarnation has stopped and handed its finished ids over to the named host.
struct successor_named {
  delivery::host_incarnation predecessor;
  base::host_id successor;
};

/// @brief A peer has reported its demand on the allowances.
struct peer_demand_received {
  base::host_id host;
  limits::demand_report report;
};

/// @brief A probe sent by send_probe has ended.
struct probe_ended {
  base::upstream_id upstream;
  std::optional<routing::load_report> load;  ///< None if no report arrived.
};

/// Any event handled by the decision core.
using gateway_event = std::variant<call_arrived,
                                   attempt_ended,
                                   tick,
                                   lists_adopted,
                                   upstreams_listed,
                                   host_count_changed,
                                   forward_ended,
                                   leave_begun,
                                   stop_begun,
                                   handed_over,
                                   successor_named,
                                   peer_demand_received,
                                   probe_ended>;

}  // namespace catkintack::gateway
