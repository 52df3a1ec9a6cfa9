/// @file
/// How an attempt at an upstream ended.
#pragma once

namespace catkintack::routing {

/// @brief The result of an attempt, as far as this host can determine it.
enum class attempt_result {
  answered,   ///< A complete response arrived.
  refused,    ///< The upstream stated that it did not run the request.
  not_sent,   ///< No byte of the request was sent, or the connection was refused.
  broken,     ///< The exchange was interrupted; the request may have run.
  timed_out,  ///< No response in time; the request may have run.
  cancelled,  ///< Cancelled by this host; the request may have run.
};

/// @brief Returns whether the request certainly did not run: true for refused and not_sent.
constexpr bool certainly_not_run(attempt_result result) {
  return result == attempt_result::refused || result == attempt_result::not_sent;
}

/// @brief Returns the result's name in events, for example "timed_out".
const char* to_string(attempt_result result);

}  // namespace catkintack::routing
