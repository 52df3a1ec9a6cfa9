/// @file
/// A caller's HTTP request as the decision core and the upstream see it.
#pragma once

#include <optional>
#include <string>

#include "catkintack/gateway/gateway_event.hpp"
#include "catkintack/net/upstream_client.hpp"

namespace httplib {
struct Request;
}

namespace catkintack::daemon {

/// @brief Reads the call that a request asks for; idempotent is set by the method alone.
/// @param request The request.
/// @param call Takes what was read.
/// @return The fault, naming the header, or nothing when the request is well formed.
std::optional<std::string> read_call(const httplib::Request& request, gateway::call_arrived& call);

/// @brief The request that an upstream sees: without the service's name and this host's headers.
/// @param request The caller's request.
/// @return What is sent upstream.
net::upstream_request to_upstream(const httplib::Request& request);

}  // namespace catkintack::daemon
