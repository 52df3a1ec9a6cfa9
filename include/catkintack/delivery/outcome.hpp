/// @file
/// What a caller is told of its request.
#pragma once

namespace catkintack::delivery {

/// @brief The truth about a request.
enum class outcome {
  answer,   ///< The upstream's whole answer.
  not_run,  ///< The request certainly did not run.
  unknown,  ///< The request may have run.
};

/// @brief The outcome's name in headers, bodies and events.
/// @param value The outcome.
/// @return "answer", "not_run" or "unknown".
const char* to_string(outcome value);

}  // namespace catkintack::delivery
