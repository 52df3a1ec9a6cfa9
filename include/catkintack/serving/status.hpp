/// @file
/// HTTP status codes that are sent or interpreted (RFC 9110, section 15; RFC 6585).
#pragma once

namespace catkintack::serving::status {

inline constexpr unsigned ok = 200;
inline constexpr unsigned no_content = 204;
inline constexpr unsigned multiple_choices = 300;
inline constexpr unsigned not_modified = 304;
inline constexpr unsigned bad_request = 400;
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned request_timeout = 408;
inline constexpr unsigned gone = 410;
inline constexpr unsigned precondition_failed = 412;
inline constexpr unsigned content_too_large = 413;
inline constexpr unsigned misdirected = 421;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned headers_too_large = 431;
inline constexpr unsigned internal_error = 500;
inline constexpr unsigned bad_gateway = 502;
inline constexpr unsigned unavailable = 503;
inline constexpr unsigned gateway_timeout = 504;

}  // namespace catkintack::serving::status
