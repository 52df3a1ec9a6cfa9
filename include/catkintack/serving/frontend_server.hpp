/// @file
/// Accepts callers, answers the balancer, and stops without cutting calls.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

#include "catkintack/serving/caller_session.hpp"
#include "catkintack/serving/listener.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief The listening side of a host.
class frontend_server {
 public:
  /// @param io Runs everything.
  /// @param state The traffic side.
  frontend_server(asio::io_context& io, traffic_state& state);

  /// @brief Begins to listen.
  /// @return The first error, if an address cannot be used.
  error_code listen();
  /// @brief Begins a planned stop.
  /// @param stopped Called when every call is answered or the stop limit is reached, with the
  /// number of calls cut.
  void stop(std::function<void(std::size_t)> stopped);

 private:
  void serve_caller(asio::ip::tcp::socket socket);
  asio::awaitable<void> answer_checks(beast::tcp_stream stream);
  asio::awaitable<void> upkeep();
  asio::awaitable<void> drain(std::function<void(std::size_t)> stopped);
  void close_idle();

  asio::io_context& io_;
  traffic_state& state_;
  listener callers_;
  listener checks_;
  std::list<std::weak_ptr<caller_session>> sessions_;
};

}  // namespace catkintack::serving
