/// @file
/// Conversion between calls and the messages that forward them to another host.
#pragma once

#include "catkintack/gateway/gateway_event.hpp"
#include "catkintack/net/delivery_messages.hpp"
#include "catkintack/net/upstream_client.hpp"

namespace catkintack::daemon {

/// @brief Builds the message that forwards a call.
/// @param event The call as it arrived at this host.
/// @param request The request that the other host sends to an upstream.
/// @param time_left Time until the deadline of the call; must not be negative.
net::forwarded_call to_message(const gateway::call_arrived& event,
                               const net::upstream_request& request,
                               base::duration time_left);

/// @brief Converts a message to the call that it forwards.
/// @return The call, marked as forwarded.
gateway::call_arrived to_event(const net::forwarded_call& call);

}  // namespace catkintack::daemon
