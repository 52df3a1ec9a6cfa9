/// @file
/// Finds out whether an upstream crashed while it was running a call.
#pragma once

#include "catkintack/base/address.hpp"
#include "catkintack/choice/crash_record.hpp"
#include "catkintack/serving/call.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief A call whose upstream ended the connection without a complete response.
struct lost_call {
  base::request_fingerprint request;
  choice::crash_id upstream;
  base::address where;  ///< Address of the upstream.
  bool remote = false;  ///< The upstream is in another region.
  base::instant lost_at;
};

/// @brief Describes a call that was lost now.
lost_call describe_lost_call(const traffic_state& state,
                             const call& served,
                             const base::upstream_id& upstream);

/// @brief Records a crash if the upstream refuses new connections while others still answer this
/// host, or if it turns out to have been started anew under its id.
///
/// A broken connection alone is no crash: an upstream, a network or a busy host may reset
/// connections. Neither is an unreachable upstream, if this host reaches no other one.
asio::awaitable<void> check_for_crash(traffic_state& state,
                                      asio::any_io_executor executor,
                                      lost_call lost);

/// @brief Records that an upstream answered a call, which clears its request of earlier crashes.
void on_request_answered(traffic_state& state, const base::request_fingerprint& request);

}  // namespace catkintack::serving
