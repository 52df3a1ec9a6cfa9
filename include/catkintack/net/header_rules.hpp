/// @file
/// Rules about HTTP headers that hold in both directions.
#pragma once

#include <string>

namespace catkintack::net {

/// @brief Whether a header belongs to one connection and is not passed on (RFC 9110, 7.6.1).
/// @param name The header's name, in any case.
/// @return True for headers such as Connection and Transfer-Encoding, and for Content-Length.
bool is_hop_by_hop(const std::string& name);

}  // namespace catkintack::net
