/// @file
/// What the end of an attempt tells the router.
#pragma once

#include <optional>

#include "catkintack/base/units.hpp"
#include "catkintack/routing/attempt_result.hpp"
#include "catkintack/routing/load_report.hpp"

namespace catkintack::routing {

/// @brief An attempt that has ended, as the router needs to know it.
struct attempt_observation {
  attempt_result result = attempt_result::answered;
  base::duration elapsed{};         ///< From sending to the end.
  std::optional<load_report> load;  ///< Report on the answer, if any.
  bool server_error = false;        ///< The answer was a 5xx.
};

}  // namespace catkintack::routing
