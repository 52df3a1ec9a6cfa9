/// @file
/// Conversion of addresses for the socket calls.
#pragma once

#include <netinet/in.h>

#include "catkintack/base/address.hpp"

namespace catkintack::net {

/// @brief Converts an address for the socket calls.
/// @param value A valid IPv4 address.
/// @return The address in network order.
sockaddr_in to_socket_address(const base::address& value);

}  // namespace catkintack::net
