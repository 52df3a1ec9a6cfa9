/// @file
/// TCP server for requests of other hosts.
#pragma once

#include <atomic>
#include <boost/leaf.hpp>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "catkintack/base/address.hpp"
#include "catkintack/net/net_error.hpp"
#include "catkintack/net/peer_message.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::net {

/// Handles a request; called on the thread of its connection.
using peer_handler = std::function<peer_response(const peer_request&)>;

/// @brief Options of the server.
struct peer_server_options {
  base::address listen_address;
  std::string key;                    ///< Secret shared by all hosts.
  std::size_t max_connections = 512;  ///< One thread each; further connections are closed.
};

/// @brief Server with one thread per connection.
class peer_server {
 public:
  /// @brief Opens the listening socket and starts the thread that accepts connections.
  /// @return The server, or a net_error of kind socket_failed.
  static boost::leaf::result<std::unique_ptr<peer_server>> open(peer_server_options options,
                                                                peer_handler handler);

  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;
  peer_server(peer_server&&) = delete;
  peer_server& operator=(peer_server&&) = delete;
  ~peer_server();

 private:
  struct connection;

  peer_server(socket_handle socket, peer_server_options options, peer_handler handler);
  void accept_connections();
  void serve(connection& self);
  void join_finished_connections();

  socket_handle socket_;
  peer_server_options options_;
  peer_handler handler_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::list<std::unique_ptr<connection>> connections_;
  std::thread thread_;
};

}  // namespace catkintack::net
