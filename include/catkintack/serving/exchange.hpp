/// @file
/// One attempt of a call on one upstream.
#pragma once

#include <memory>
#include <string>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/upstream_connection.hpp"
#include "catkintack/serving/upstream_notice.hpp"
#include "catkintack/serving/upstream_protocol.hpp"

namespace catkintack::serving {

/// @brief How an attempt ended.
enum class exchange_outcome : std::uint8_t {
  answered,      ///< Response from the upstream; its body may still be streaming.
  failed,        ///< Failure response from the upstream; a retry may succeed.
  not_run,       ///< The upstream reported that it did not run the call.
  may_have_run,  ///< No usable response.
  timed_out,     ///< The deadline passed.
  caller_left    ///< The caller disconnected.
};

/// @brief Name of the outcome in logs and metrics.
std::string_view to_text(exchange_outcome outcome);

/// @brief The result of an attempt.
struct exchange_result {
  exchange_outcome outcome = exchange_outcome::may_have_run;
  std::string detail;  ///< Cause of a failure, for the log.
  unsigned status = 0;
  std::string reason;
  http::fields headers;
  std::string body;              ///< The complete body, or its first part.
  upstream_notice notice;        ///< What the upstream says about itself.
  bool connection_lost = false;  ///< The upstream or the network ended the connection.
  std::uint64_t sent_bytes = 0;  ///< Size of the request as sent, head and body.
  std::unique_ptr<upstream_connection> connection;  ///< Reusable, or source of the remaining body.
  std::unique_ptr<response_parser> body_parser;     ///< Set while the body is incomplete.
};

/// @brief Sends a call to an upstream and reads the response.
/// @param connection A reusable connection to the upstream.
/// @param protocol Header names.
/// @param time_left Time limit of the attempt, forwarded to the upstream as its deadline.
/// @param max_buffered_response Response bodies up to this size, in bytes, are read completely
/// before they are forwarded; larger ones are streamed.
asio::awaitable<exchange_result> exchange(std::unique_ptr<upstream_connection> connection,
                                          call& sent,
                                          const upstream_protocol& protocol,
                                          base::duration time_left,
                                          std::size_t max_buffered_response);

}  // namespace catkintack::serving
