/// @file
/// How long to wait before something that failed is tried again.
#pragma once

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::control {

/// @brief Bounds of the pauses between tries.
struct retry_span {
  base::duration first{};    ///< After the first failure; doubles with each further one.
  base::duration longest{};  ///< However many tries failed.
};

/// @brief Draws a pause. Half of it is random, so that hosts do not return together.
/// @param failures Tries that failed in a row, from 1 on.
/// @param span Bounds.
/// @param random Source of chance.
base::duration retry_pause(unsigned failures, retry_span span, const base::random_hook& random);

}  // namespace catkintack::control
