/// @file
/// UDP socket for datagrams between hosts.
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

/// @brief Sends and receives authenticated datagrams. Thread-safe.
class peer_datagram_socket {
 public:
  /// Handles a verified payload; called on the receiving thread.
  using receiver = std::function<void(std::string payload)>;

  /// @brief Binds the socket and starts the receiving thread.
  /// @param address Peer address of this host.
  /// @param key Secret shared by all hosts.
  /// @param on_payload Called for each verified datagram; others are dropped.
  /// @return The socket, or a net_error of kind socket_failed.
  static boost::leaf::result<std::unique_ptr<peer_datagram_socket>>
  open(const base::address& address, std::string key, receiver on_payload);

  peer_datagram_socket(const peer_datagram_socket&) = delete;
  peer_datagram_socket& operator=(const peer_datagram_socket&) = delete;
  peer_datagram_socket(peer_datagram_socket&&) = delete;
  peer_datagram_socket& operator=(peer_datagram_socket&&) = delete;
  ~peer_datagram_socket();

  /// @brief Sends a payload; losses are not detected.
  /// @param payload At most about 1,200 bytes.
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
