/// @file
/// Accepts callers, answers health checks and shuts down gracefully.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

#include "catkintack/serving/caller_session.hpp"
#include "catkintack/serving/isolation_check.hpp"
#include "catkintack/serving/listener.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Listens for callers and for health checks of the external load balancer.
class frontend_server {
 public:
  frontend_server(asio::io_context& io, traffic_state& state);

  /// @brief Starts listening on all addresses.
  /// @return The error of the first address that cannot be used, if any.
  error_code listen();
  /// @brief Starts a graceful shutdown.
  /// @param stopped Called when all calls are answered or the stop limit is reached, with the
  /// number of calls that were aborted.
  void stop(std::function<void(std::size_t)> stopped);

 private:
  void serve_caller(asio::ip::tcp::socket socket, session_peer peer);
  asio::awaitable<void> serve_health_checks(beast::tcp_stream stream);
  asio::awaitable<void> run_maintenance();
  asio::awaitable<void> drain(std::function<void(std::size_t)> stopped);
  /// @brief Closes the idle sessions.
  /// @return Whether all were idle.
  bool close_idle();

  asio::io_context& io_;
  traffic_state& state_;
  listener caller_listener_;
  listener relay_listener_;  ///< For calls that other hosts relay.
  listener health_check_listener_;
  isolation_check isolation_check_;
  std::list<std::weak_ptr<caller_session>> sessions_;
};

}  // namespace catkintack::serving
