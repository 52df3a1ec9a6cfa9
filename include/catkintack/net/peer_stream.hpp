/// @file
/// One TCP connection between hosts, carrying sealed frames.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/net/net_error.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::net {

/// @brief Sealed frames over a connection. Each frame is tied to the connection's nonce, its
/// direction and its position, so that recorded bytes are of no use to a stranger.
class peer_stream {
 public:
  /// @brief Connects to a peer and reads its nonce.
  /// @param to The peer's address.
  /// @param key The fleet's peer key.
  /// @param timeout Bound of the connect and of each read and write.
  /// @return The stream, or a net_error of kind unreachable.
  static boost::leaf::result<peer_stream> connect(const base::address& to,
                                                  std::string key,
                                                  base::duration timeout);

  /// @brief Takes over an accepted connection and sends a fresh nonce.
  /// @param socket The connection.
  /// @param key The fleet's peer key.
  /// @param timeout Bound of each read and write.
  /// @return The stream, or a net_error.
  static boost::leaf::result<peer_stream> accept(socket_handle socket,
                                                 std::string key,
                                                 base::duration timeout);

  /// @brief Sends a frame.
  /// @param payload The payload, up to 16 MiB.
  /// @return Nothing, or a net_error of kind broken.
  boost::leaf::result<void> send(const std::string& payload);

  /// @brief Receives a frame.
  /// @return The payload, or a net_error of kind broken, malformed or not_authentic.
  boost::leaf::result<std::string> receive();

  /// @brief Sets the bound of each later read and write.
  /// @param timeout The bound.
  void set_timeout(base::duration timeout) const;

  const socket_handle& socket() const { return socket_; }

 private:
  peer_stream(socket_handle socket, std::string key, std::string nonce, bool accepted);
  std::string context(bool from_acceptor, std::uint64_t position) const;

  socket_handle socket_;
  std::string key_;
  std::string nonce_;
  bool accepted_ = false;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
};

}  // namespace catkintack::net
