/// @file
/// Sources of time and randomness that are passed into the decision code, so that tests can
/// control them.
#pragma once

#include <cstdint>
#include <functional>

#include "catkintack/base/units.hpp"

namespace catkintack::base {

/// Reads a monotonic clock.
using clock_hook = std::function<instant()>;
/// Reads a wall clock.
using wall_clock_hook = std::function<wall_time()>;
/// Returns 64 uniformly random bits.
using random_hook = std::function<std::uint64_t()>;

/// @brief Returns a hook that reads std::chrono::steady_clock.
clock_hook system_clock_hook();
/// @brief Returns a hook that reads CLOCK_BOOTTIME, a monotonic clock that includes the time in
/// which the machine was suspended.
clock_hook boot_clock_hook();
/// @brief Returns a hook that reads std::chrono::system_clock.
wall_clock_hook system_wall_clock_hook();
/// @brief Returns a hook that generates the deterministic sequence of a seed. The hook is not
/// thread-safe.
random_hook seeded_random_hook(std::uint64_t seed);
/// @brief Returns 64 random bits from the machine's entropy source.
std::uint64_t entropy_seed();

}  // namespace catkintack::base
