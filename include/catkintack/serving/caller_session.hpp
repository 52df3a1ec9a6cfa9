/// @file
/// One caller's connection.
#pragma once

#include <memory>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/call_result.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Reads requests, one after the other, and writes their answers. Made by make_shared.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(traffic_state& state, beast::tcp_stream stream);

  /// @brief Serves the connection until it ends.
  asio::awaitable<void> run();
  /// @brief Whether it waits for a request.
  bool idle() const { return idle_; }
  /// @brief Ends the connection at once.
  void close();

 private:
  enum class after { keep, close };

  asio::awaitable<bool> read_head(request_parser& parser);
  asio::awaitable<std::shared_ptr<call>> admit(request_parser& parser);
  asio::awaitable<bool> read_call_body(request_parser& parser, call& made);
  asio::awaitable<after> serve(request_parser& parser);
  asio::awaitable<bool> answer(call_result& result, const call& served, bool close_after);
  asio::awaitable<bool> relay_rest(exchange_result& upstream);
  asio::awaitable<bool> write(std::string text);
  asio::awaitable<void> refuse(own_answer refused);
  void watch_caller(const std::shared_ptr<call>& served);
  void stop_watching();
  routes::request_limits limits() const;
  void log_call(const call& served, const call_result& result) const;

  traffic_state& state_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool idle_ = true;
};

}  // namespace catkintack::serving
