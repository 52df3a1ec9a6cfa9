/// @file
/// Loopback addresses for tests.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <stdexcept>

#include "catkintack/base/address.hpp"
#include "catkintack/net/socket.hpp"
#include "catkintack/net/socket_address.hpp"

namespace catkintack::tests {

/// @brief Finds a free port.
/// @return A loopback address that no socket was bound to a moment ago.
inline base::address free_address() {
  const net::socket_handle probe(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in bound = net::to_socket_address({"127.0.0.1", 0});
  socklen_t size = sizeof(bound);
  // The socket calls take every kind of address as sockaddr.
  auto* const generic = reinterpret_cast<sockaddr*>(&bound);
  if (::bind(probe.descriptor(), generic, size) != 0 ||
      ::getsockname(probe.descriptor(), generic, &size) != 0) {
    throw std::runtime_error("no free port on 127.0.0.1");
  }
  return {"127.0.0.1", ntohs(bound.sin_port)};
}

}  // namespace catkintack::tests
