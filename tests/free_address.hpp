/// @file
/// Finds unused loopback addresses for tests.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <stdexcept>

#include "catkintack/base/address.hpp"
#include "catkintack/net/socket.hpp"
#include "catkintack/net/socket_address.hpp"

namespace catkintack::tests {

/// @brief Finds a free TCP port on 127.0.0.1. Another process may take it before the test binds it.
/// @return A loopback address to which no socket was bound at the time of the call.
/// @throws std::runtime_error if no port can be bound.
inline base::address free_address() {
  const net::socket_handle probe(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in bound = net::to_socket_address({"127.0.0.1", 0});
  socklen_t size = sizeof(bound);
  // The socket calls take addresses of all families as sockaddr.
  auto* const generic = reinterpret_cast<sockaddr*>(&bound);
  if (::bind(probe.descriptor(), generic, size) != 0 ||
      ::getsockname(probe.descriptor(), generic, &size) != 0) {
    throw std::runtime_error("cannot bind a free port on 127.0.0.1");
  }
  return {"127.0.0.1", ntohs(bound.sin_port)};
}

}  // namespace catkintack::tests
