/// @file
/// Rules for HTTP headers, for requests and responses.
#pragma once

#include <string>

namespace catkintack::net {

/// @brief Tells whether a header is hop-by-hop and must not be forwarded (RFC 9110, 7.6.1).
/// @param name Name of the header; case is ignored.
/// @return True for headers such as Connection and Transfer-Encoding, and for Content-Length, which
/// the HTTP library sets anew.
bool is_hop_by_hop(const std::string& name);

}  // namespace catkintack::net
