/// @file
/// The outcome of a request as reported to its caller.
#pragma once

namespace catkintack::delivery {

/// @brief Whether a request ran, as far as the gateway can tell.
enum class outcome {
  answer,   ///< The upstream's complete response.
  not_run,  ///< The request certainly did not run.
  unknown,  ///< The request may have run.
};

/// @brief Returns the name of the outcome in headers, bodies and events.
/// @return "answer", "not_run" or "unknown".
const char* to_string(outcome value);

}  // namespace catkintack::delivery
