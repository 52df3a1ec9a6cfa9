/// @file
/// What is known about the limit of an upstream.
#pragma once

#include <optional>

#include "catkintack/base/request_rate.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief The limit of an upstream at a point in time.
struct limit_observation {
  std::optional<base::request_rate> limit{};  ///< Empty if the upstream named none.
  base::instant observed_at = base::instant::min();
};

}  // namespace catkintack::choice
