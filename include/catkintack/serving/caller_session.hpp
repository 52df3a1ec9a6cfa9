/// @file
/// A connection from a caller.
#pragma once

#include <memory>
#include <optional>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/call_result.hpp"
#include "catkintack/serving/caller_identity.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Who is at the other end of a session.
enum class session_peer : std::uint8_t {
  caller,
  host  ///< Another host that relays calls of its callers. It is told which calls did not run.
};

/// @brief Reads requests from one connection and answers them in order. Must be owned by a
/// shared_ptr.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(traffic_state& state,
                 beast::tcp_stream stream,
                 session_peer peer = session_peer::caller);

  /// @brief Serves the connection until it is closed.
  asio::awaitable<void> run();
  /// @brief Whether the session is waiting for the next request and no byte of it has arrived.
  bool idle();
  /// @brief Closes the connection immediately.
  void close();
  /// @brief Logs the open call, if there is one, before the host stops without answering it.
  void log_cut_call() const;

 private:
  enum class next_step { keep, close };

  asio::awaitable<bool> read_head(request_parser& parser);
  asio::awaitable<std::shared_ptr<call>> admit(request_parser& parser);
  /// @brief Refuses a call of a caller whose customer is above its cap.
  /// @return Whether the call may run.
  asio::awaitable<bool> admit_within_cap(const call& admitted);
  asio::awaitable<bool> read_request_body(request_parser& parser, call& admitted);
  asio::awaitable<next_step> serve(request_parser& parser);
  asio::awaitable<bool> send_response(call_result& result, const call& served, bool close_after);
  asio::awaitable<bool> relay_remaining_body(exchange_result& upstream, const call& served);
  asio::awaitable<bool> write(std::string text);
  asio::awaitable<void> refuse(local_response response, base::customer_id customer = {});
  /// @brief Sets the customer of a call and removes the caller's credentials from it.
  /// @return The refusal, if any.
  std::optional<identity_refusal> identify(call& received);
  void watch_for_disconnect(const std::shared_ptr<call>& served);
  void cancel_disconnect_watch();
  routes::request_limits limits() const;
  void log_call(const call& served, const call_result& result) const;

  traffic_state& state_;
  beast::tcp_stream stream_;
  session_peer peer_;
  beast::flat_buffer buffer_;
  std::shared_ptr<const call> open_call_;  ///< Null between calls.
  bool idle_ = true;
};

}  // namespace catkintack::serving
