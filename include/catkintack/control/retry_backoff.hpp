/// @file
/// Exponential backoff with jitter.
#pragma once

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::control {

/// @brief Bounds of the backoff.
struct backoff_bounds {
  base::duration initial{};  ///< After the first failure; doubles with each further failure.
  base::duration max{};      ///< Upper bound for any number of failures.
};

/// @brief Computes the pause before the next attempt. Half of it is random, so that hosts do not
/// retry in step.
/// @param failures Consecutive failures, from 1 on.
base::duration retry_backoff(unsigned failures,
                             backoff_bounds bounds,
                             const base::random_hook& random);

}  // namespace catkintack::control
