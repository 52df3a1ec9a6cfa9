/// @file
/// Reserves loopback addresses for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>

#include "catkintack/base/address.hpp"

namespace catkintack::tests {

/// @brief Reserves a TCP port on 127.0.0.1 until the process ends. Not thread-safe.
///
/// The port stays bound without a listener, so that connections are refused and no other process
/// gets it. A listener can bind it if it sets SO_REUSEADDR.
/// @return The address.
/// @throws boost::system::system_error if no port can be bound.
inline base::address free_address() {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  static asio::io_context io;
  static std::list<tcp::acceptor> reserved;
  tcp::acceptor& acceptor = reserved.emplace_back(io, tcp::v4());
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  // Not set before bind, which then chooses a port that no other socket has.
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

}  // namespace catkintack::tests
