/// @file
/// cpp-httplib server with bounded connections, bodies and idle time, listening on its own thread.
#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"

namespace httplib {
class Server;
}

namespace catkintack::daemon {

class connection_server;

/// @brief Why a listener or the daemon could not start.
struct daemon_error {
  std::string message;
};

/// @brief Address and limits of a listener.
struct http_listener_options {
  base::address where;
  std::uint32_t max_connections =
      64;  ///< One thread each; further connections wait in the backlog.
  std::uint64_t max_body_bytes = 1U << 20U;
  base::duration idle_timeout = std::chrono::seconds(30);  ///< Of keep-alive connections.
};

/// @brief Owns a server and the thread that accepts its connections.
class http_listener {
 public:
  /// @brief Binds the address, adds the routes and starts to listen.
  /// @param add_routes Registers the request handlers; called once, before this function returns.
  /// @return The listener, or a daemon_error when the address cannot be bound.
  static boost::leaf::result<std::unique_ptr<http_listener>> open(
      const http_listener_options& options,
      const std::function<void(httplib::Server&)>& add_routes);

  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;
  http_listener(http_listener&&) = delete;
  http_listener& operator=(http_listener&&) = delete;
  /// @brief Stops listening, finishes requests in progress and closes idle connections.
  ~http_listener();

 private:
  explicit http_listener(std::unique_ptr<connection_server> server);

  std::unique_ptr<connection_server> server_;
  std::thread thread_;
};

}  // namespace catkintack::daemon
