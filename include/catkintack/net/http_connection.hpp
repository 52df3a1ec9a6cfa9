/// @file
/// HTTP/1.1 client connection that detects truncated responses.
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

/// Names and values of headers in the order received.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// @brief Finds the first value of a header.
/// @param name Name of the header; case is ignored.
/// @return The value, or nothing when there is no such header.
std::optional<std::string> find_header(const http_headers& headers, const std::string& name);

/// @brief Complete response, delimited by Content-Length or chunked encoding.
struct http_response {
  int status = 0;
  http_headers headers;
  std::string body;
  bool reusable = false;  ///< Whether the connection may be used for another exchange.
};

/// @brief Result of an exchange.
enum class http_exchange_status {
  complete,   ///< The complete response was received.
  not_sent,   ///< No byte of the request was sent.
  broken,     ///< The connection failed, or the response is malformed or too large.
  timed_out,  ///< The deadline passed.
};

/// @brief Limits of an exchange.
struct http_limits {
  base::clock_hook clock;
  base::instant deadline{};
  std::uint64_t max_body_bytes = 64U << 20U;
  std::optional<base::instant>
      silence_deadline;              ///< When on_silence is called if no byte was received.
  std::function<void()> on_silence;  ///< Called at most once; the exchange continues.
};

/// @brief Connection to an upstream. Not thread-safe, except for interrupt().
///
/// The client of cpp-httplib accepts a chunked body that is truncated within the end of a chunk,
/// discards bytes that follow a response, and limits the time of each read but not of the whole
/// exchange. Responses are therefore parsed by Boost.Beast, and all reads share one deadline.
class http_connection {
 public:
  /// @brief Opens a connection.
  /// @return The connection, or null when it was not established within the timeout.
  static std::unique_ptr<http_connection> connect(const base::address& to, base::duration timeout);

  /// @brief Sends a request and waits for the complete response.
  /// @param request Serialized request with headers and body.
  /// @param has_body Whether a response to the request's method has a body.
  /// @param response Valid only when the result is complete.
  /// @return The result; after any result but complete the connection must not be used again.
  http_exchange_status exchange(const std::string& request,
                                bool has_body,
                                const http_limits& limits,
                                http_response& response);

  /// @brief Tells whether the connection is open and has no unread bytes. When it returns false,
  /// the connection must not be used again.
  bool is_idle() const;

  /// @brief Aborts the exchange in progress. May be called from any thread.
  void interrupt() const { socket_.shut_down(); }

 private:
  explicit http_connection(socket_handle socket);

  http_exchange_status send(const std::string& bytes, const http_limits& limits);
  http_exchange_status wait(short events, const http_limits& limits);
  http_exchange_status read_more(const http_limits& limits);
  /// Reads until the buffer holds a complete head, and checks it.
  http_exchange_status read_head(const http_limits& limits);
  http_exchange_status read_response(bool has_body,
                                     const http_limits& limits,
                                     http_response& response);

  socket_handle socket_;
  std::string buffer_;               // Received bytes that are not parsed yet.
  bool silence_timer_done_ = false;  // A byte was received, or on_silence was called.
};

}  // namespace catkintack::net
