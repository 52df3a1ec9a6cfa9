/// @file
/// The end of a request as its caller learns it.
#pragma once

#include <optional>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/delivery/outcome.hpp"
#include "catkintack/delivery/upstream_response.hpp"

namespace catkintack::delivery {

/// @brief Outcome, and either the upstream's answer or this system's own words.
struct final_response {
  outcome result = outcome::not_run;
  int status = 0;                              ///< HTTP status.
  shared_upstream_response upstream_response;  ///< Set when the outcome is answer.
  std::string message;                         ///< Set otherwise; names what went wrong.
  std::optional<base::duration> retry_after;   ///< When a repeat makes sense.
};

}  // namespace catkintack::delivery
