/// @file
/// Conversion of addresses for the socket API.
#pragma once

#include <netinet/in.h>

#include "catkintack/base/address.hpp"

namespace catkintack::net {

/// @brief Converts an address to the form used by the socket API.
/// @param value A valid IPv4 address.
/// @return The address in network byte order.
sockaddr_in to_socket_address(const base::address& value);

}  // namespace catkintack::net
