/// @file
/// One send of a call to one upstream.
#pragma once

#include <memory>
#include <string>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/upstream_connection.hpp"
#include "catkintack/serving/upstream_protocol.hpp"

namespace catkintack::serving {

/// @brief How a send ended.
enum class exchange_end : std::uint8_t {
  answered,      ///< The upstream's own answer, whole or still coming.
  failed,        ///< The upstream's own answer, and it is a failure that a repeat may mend.
  not_run,       ///< The upstream said that it did not run the call.
  may_have_run,  ///< No usable answer.
  timed_out,     ///< The deadline passed.
  caller_left    ///< The caller went away.
};

/// @brief The name of an outcome in logs and metrics.
std::string_view to_text(exchange_end end);

/// @brief The outcome of a send.
struct exchange_result {
  exchange_end end = exchange_end::may_have_run;
  std::string detail;  ///< Why, for the log.
  unsigned status = 0;
  std::string reason;
  http::fields headers;
  std::string body;                                 ///< The whole body, or its beginning.
  std::uint64_t sent_bytes = 0;                     ///< Head and body as sent.
  std::unique_ptr<upstream_connection> connection;  ///< For reuse, or with the rest of the body.
  std::unique_ptr<response_parser> rest;            ///< Set while the body is still coming.
};

/// @brief Sends a call and reads its answer.
/// @param connection A quiet connection to the upstream.
/// @param sent The call.
/// @param protocol Names of headers.
/// @param time_left Handed to the upstream as its deadline.
/// @param held_answer Answers up to this size are read whole before they are passed on.
asio::awaitable<exchange_result> exchange(std::unique_ptr<upstream_connection> connection,
                                          call& sent,
                                          const upstream_protocol& protocol,
                                          base::duration time_left,
                                          std::size_t held_answer);

}  // namespace catkintack::serving
