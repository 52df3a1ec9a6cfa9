/// @file
/// Conversion of calls that hosts forward to each other.
#pragma once

#include "catkintack/gateway/gateway_event.hpp"
#include "catkintack/net/delivery_messages.hpp"
#include "catkintack/net/upstream_client.hpp"

namespace catkintack::daemon {

/// @brief The message that forwards a call.
/// @param event The call as it arrived at this host.
/// @param request What is to be sent upstream.
/// @param time_left Until the call's deadline, 0 at least.
/// @return The message.
net::forwarded_call to_message(const gateway::call_arrived& event,
                               const net::upstream_request& request,
                               base::duration time_left);

/// @brief The call that a message forwards.
/// @param call The message.
/// @return The call, marked as forwarded.
gateway::call_arrived to_event(const net::forwarded_call& call);

}  // namespace catkintack::daemon
