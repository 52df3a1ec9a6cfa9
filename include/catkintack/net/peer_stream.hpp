/// @file
/// TCP connection between hosts that transfers authenticated frames.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/net/net_error.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::net {

/// @brief Connection that transfers authenticated frames. The HMAC of a frame covers the nonce of
/// the connection, the direction and the frame's sequence number, which prevents replays.
class peer_stream {
 public:
  /// @brief Connects to a peer and reads its nonce.
  /// @param key Secret shared by all hosts.
  /// @param timeout Limit for the connect and for each read and write.
  /// @return The stream, or a net_error of kind unreachable.
  static boost::leaf::result<peer_stream> connect(const base::address& to,
                                                  std::string key,
                                                  base::duration timeout);

  /// @brief Takes over an accepted connection and sends a new nonce.
  /// @param key Secret shared by all hosts.
  /// @param timeout Limit for each read and write.
  /// @return The stream, or a net_error of kind broken.
  static boost::leaf::result<peer_stream> accept(socket_handle socket,
                                                 std::string key,
                                                 base::duration timeout);

  /// @brief Sends a frame.
  /// @param payload At most 16 MiB together with its HMAC.
  /// @return Nothing, or a net_error of kind broken or malformed.
  boost::leaf::result<void> send(const std::string& payload);

  /// @brief Receives a frame.
  /// @return The payload, or a net_error of kind broken, malformed or not_authentic.
  boost::leaf::result<std::string> receive();

  /// @brief Sets the time limit for each read and write.
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
