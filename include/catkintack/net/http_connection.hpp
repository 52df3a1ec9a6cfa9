/// @file
/// One client connection for HTTP/1.1 that tells a whole response from any other.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/hooks.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::net {

/// Names and values in the order received.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// @brief The first value of a header.
/// @param headers The headers.
/// @param name The name, in any case.
/// @return The value, or nothing.
std::optional<std::string> find_header(const http_headers& headers, const std::string& name);

/// @brief A response whose end was marked by its framing and has arrived.
struct http_response {
  int status = 0;
  http_headers headers;
  std::string body;
  bool reusable = false;  ///< Whether the connection may carry another exchange.
};

/// @brief How an exchange ended.
enum class http_exchange_status {
  complete,   ///< The response is whole.
  not_sent,   ///< No byte was sent.
  broken,     ///< The connection broke, or the response is malformed or too large.
  timed_out,  ///< The deadline passed.
};

/// @brief Bounds of one exchange.
struct http_limits {
  base::clock_hook clock;
  base::instant deadline{};
  std::uint64_t max_body_bytes = 64U << 20U;
  std::optional<base::instant>
      silence_deadline;              ///< When to tell that no byte of the response came.
  std::function<void()> on_silence;  ///< Called at most once; the exchange goes on.
};

/// @brief A connection to an upstream. One thread at a time, but for interrupt().
///
/// cpp-httplib's client takes a chunked body cut within a chunk's end for a whole one, drops bytes
/// that follow a response, and has limits for each read but none for an exchange. So responses are
/// parsed by Boost.Beast, over a socket that is read under one deadline.
class http_connection {
 public:
  /// @brief Connects.
  /// @param to The address.
  /// @param timeout Given up then.
  /// @return The connection, or null.
  static std::unique_ptr<http_connection> connect(const base::address& to, base::duration timeout);

  /// @brief Sends a request and waits for the whole response.
  /// @param request Head and body as they go over the wire.
  /// @param has_body Whether a response to the request's method has a body.
  /// @param limits Bounds.
  /// @param response Set when the end is whole.
  /// @return How it ended; after any other end than whole the connection is of no more use.
  http_exchange_status exchange(const std::string& request,
                                bool has_body,
                                const http_limits& limits,
                                http_response& response);

  /// @brief Whether the connection is open and nothing waits on it.
  /// @return False when it must not be used.
  bool is_idle() const;

  /// @brief Breaks the exchange in progress. May be called by any thread.
  void interrupt() const { socket_.shut_down(); }

 private:
  explicit http_connection(socket_handle socket);

  http_exchange_status send(const std::string& bytes, const http_limits& limits);
  http_exchange_status wait(short events, const http_limits& limits);
  http_exchange_status read_more(const http_limits& limits);
  http_exchange_status read_response(bool has_body,
                                     const http_limits& limits,
                                     http_response& response);

  socket_handle socket_;
  std::string buffer_;  // Received and not yet consumed.
  bool silence_timer_done_ =
      false;  // Whether a byte of the response came, or its silence was told.
};

}  // namespace catkintack::net
