/// @file
/// Names of the HTTP headers used between callers, gateways and upstreams.
#pragma once

namespace catkintack::net::headers {

inline constexpr const char* api_key = "Catkintack-Key";            ///< API key of the customer.
inline constexpr const char* request_id = "Catkintack-Request-Id";  ///< The same on each repeat.
inline constexpr const char* time_left =
    "Catkintack-Time-Left-Ms";                                ///< To the deadline, milliseconds.
inline constexpr const char* outcome = "Catkintack-Outcome";  ///< answer, not_run, unknown.
inline constexpr const char* token = "Catkintack-Token";  ///< host.incarnation, to make ids from.
inline constexpr const char* load = "Catkintack-Load";    ///< "running=1 queued=0 leaving=0".
inline constexpr const char* depth = "Catkintack-Depth";  ///< Gateways passed so far.
inline constexpr const char* retries_left = "Catkintack-Retries-Left";  ///< For the levels below.
inline constexpr const char* shed = "Catkintack-Shed";     ///< 1: refused for load; do not retry.
inline constexpr const char* retry_after = "Retry-After";  ///< Seconds, rounded up.

}  // namespace catkintack::net::headers
