/// @file
/// What happens to the decision core.
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

/// @brief A caller's request has arrived whole.
struct call_arrived {
  base::call_id call;
  base::request_id request;  ///< Empty when the caller gave none.
  std::string key_hash;      ///< SHA-256 of the customer's key; empty without key.
  base::service_id service;
  bool idempotent = false;                  ///< By method or by the service's setting.
  std::optional<base::duration> time_left;  ///< The caller's deadline; none for the default.
  std::uint64_t fingerprint = 0;  ///< Hash of method, target and body; a repeat must match it.
  bool forwarded = false;         ///< Sent on by another host; never sent on again.
  std::uint32_t depth = 0;        ///< Gateways that the call crossed before this one.
  std::optional<std::uint32_t> retries_left;  ///< What the level above lets this and all below.
};

/// @brief An attempt started by send_attempt has ended.
struct attempt_ended {
  base::call_id call;
  base::attempt_number attempt;
  routing::attempt_result result = routing::attempt_result::broken;
  delivery::shared_upstream_response upstream_response;  ///< Set when the result is answered.
  std::optional<routing::load_report> load;              ///< The upstream's report, if it gave one.
  std::optional<base::duration> retry_after;  ///< The upstream's word on when to come back.
  bool shed = false;  ///< The refusal came from load; it is not to be retried here.
};

/// @brief Time has passed; sent every few milliseconds.
struct tick {};

/// @brief New lists are in force on this host.
struct lists_adopted {
  config::shared_lists lists;
};

/// @brief The host list shows these upstreams.
struct upstreams_listed {
  std::vector<routing::upstream_record> upstreams;
};

/// @brief The number of gateway hosts, this one included, that share the allowances.
struct host_count_changed {
  std::uint32_t live_hosts = 1;
  std::uint32_t listed_hosts = 0;  ///< On the host list; 0 while it cannot be read.
};

/// @brief A call sent on by forward_call has ended.
struct forward_ended {
  base::call_id call;
  std::optional<delivery::final_response>
      response;  ///< None when the other host gave no whole answer.
};

/// @brief This host stops as planned: ids that were never seen no longer run.
struct stop_begun {};

/// @brief Another incarnation stopped and left its finished ids to this host.
struct handed_over {
  delivery::hand_over_part part;
};

/// @brief Another incarnation stopped and left its finished ids to a host.
struct successor_named {
  delivery::host_incarnation predecessor;
  base::host_id successor;
};

/// @brief A peer has told its demand of the allowances.
struct peer_demand_received {
  base::host_id host;
  limits::demand_report report;
};

/// @brief A probe sent by send_probe has ended.
struct probe_ended {
  base::upstream_id upstream;
  std::optional<routing::load_report> load;  ///< None when no report came.
};

/// Anything that happens to the decision core.
using gateway_event = std::variant<call_arrived,
                                   attempt_ended,
                                   tick,
                                   lists_adopted,
                                   upstreams_listed,
                                   host_count_changed,
                                   forward_ended,
                                   stop_begun,
                                   handed_over,
                                   successor_named,
                                   peer_demand_received,
                                   probe_ended>;

}  // namespace catkintack::gateway
