/// @file
/// Conversion of a caller's HTTP request for the decision core and for upstreams.
#pragma once

#include <optional>
#include <string>

#include "catkintack/gateway/gateway_event.hpp"
#include "catkintack/net/upstream_client.hpp"

namespace httplib {
struct Request;
}

namespace catkintack::daemon {

/// @brief Parses the headers of a request into a call. The call's `idempotent` is set by the
/// method; the settings of the service are applied later.
/// @param call Receives the parsed values.
/// @return An error message that names the header, or no value when the request is well formed.
std::optional<std::string> read_call(const httplib::Request& request, gateway::call_arrived& call);

/// @brief Converts a caller's request to the request for an upstream: removes the service's name
/// from the target and the headers that concern only the caller's connection or this host.
net::upstream_request to_upstream(const httplib::Request& request);

}  // namespace catkintack::daemon
