/// @file
/// Datagrams between hosts over UDP.
#pragma once

#include <atomic>
#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "catkintack/base/address.hpp"
#include "catkintack/net/net_error.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::net {

/// @brief Sends and receives sealed datagrams. Safe for use by several threads.
class peer_datagram_socket {
 public:
  /// Takes an opened payload; called from the receiving thread.
  using receiver = std::function<void(std::string payload)>;

  /// @brief Binds the socket and starts the receiving thread.
  /// @param address This host's peer address.
  /// @param key The fleet's peer key.
  /// @param on_payload Takes what arrives; datagrams of strangers are dropped.
  /// @return The open socket, or a net_error.
  static boost::leaf::result<std::unique_ptr<peer_datagram_socket>>
  open(const base::address& address, std::string key, receiver on_payload);

  peer_datagram_socket(const peer_datagram_socket&) = delete;
  peer_datagram_socket& operator=(const peer_datagram_socket&) = delete;
  peer_datagram_socket(peer_datagram_socket&&) = delete;
  peer_datagram_socket& operator=(peer_datagram_socket&&) = delete;
  ~peer_datagram_socket();

  /// @brief Sends a payload; loss is not noticed.
  /// @param to The peer's address.
  /// @param payload The payload, up to about 1,200 bytes.
  void send(const base::address& to, const std::string& payload);

 private:
  peer_datagram_socket(socket_handle socket, std::string key, receiver on_payload);
  void receive();

  socket_handle socket_;
  std::string key_;
  receiver on_payload_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace catkintack::net
