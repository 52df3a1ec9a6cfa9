/// @file
/// Final answers in this system's own words.
#pragma once

#include <optional>
#include <string>

#include "catkintack/delivery/final_response.hpp"

namespace catkintack::gateway {

/// @brief A final answer for a request that certainly did not run.
/// @param status HTTP status.
/// @param message Names what went wrong.
/// @param retry_after When a repeat makes sense.
/// @return The answer.
delivery::final_response not_run(int status,
                                 std::string message,
                                 std::optional<base::duration> retry_after = std::nullopt);

/// @brief A final answer for a request that no upstream took: status 503, not run.
/// @param message Names what went wrong.
/// @return The answer, with the usual time to come back.
delivery::final_response unavailable(std::string message);

/// @brief A final answer for a request that may have run.
/// @param message Names what went wrong.
/// @param status HTTP status.
/// @return The answer.
delivery::final_response unknown(std::string message, int status = 502);

}  // namespace catkintack::gateway
