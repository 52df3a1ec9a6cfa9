/// @file
/// The outcome of an attempt as reported to the router.
#pragma once

#include <optional>

#include "catkintack/base/units.hpp"
#include "catkintack/routing/attempt_result.hpp"
#include "catkintack/routing/load_report.hpp"

namespace catkintack::routing {

/// @brief The outcome of a completed attempt.
struct attempt_observation {
  attempt_result result = attempt_result::answered;
  base::duration elapsed{};         ///< Time from sending to the end of the attempt.
  std::optional<load_report> load;  ///< Load report on the response, if any.
  bool server_error = false;        ///< The response had a 5xx status.
};

}  // namespace catkintack::routing
