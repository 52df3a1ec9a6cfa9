/// @file
/// Hooks through which time and randomness enter the decision code.
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

/// @brief The clock of the machine.
/// @return A hook reading std::chrono::steady_clock.
clock_hook system_clock_hook();
/// @brief A monotonic clock that also counts time in which the machine was suspended.
/// @return A hook reading CLOCK_BOOTTIME.
clock_hook boot_clock_hook();
/// @brief The wall clock of the machine.
/// @return A hook reading std::chrono::system_clock.
wall_clock_hook system_wall_clock_hook();
/// @brief A deterministic random source; not safe for use by several threads at once.
/// @param seed The seed.
/// @return A hook giving the sequence that belongs to the seed.
random_hook seeded_random_hook(std::uint64_t seed);
/// @brief A seed from the machine's entropy source.
/// @return 64 random bits.
std::uint64_t entropy_seed();

}  // namespace catkintack::base
