/// @file
/// Units of time and size.
#pragma once

#include <chrono>
#include <cstdint>

#include "catkintack/base/strong_number.hpp"

namespace catkintack::base {

/// A duration with a resolution of one microsecond.
using duration = std::chrono::microseconds;
/// A point in time of a host's monotonic clock. Values of different hosts must not be compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;
/// A point in time of a host's wall clock. The clocks of different hosts may differ.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;
/// A size in bytes.
using byte_count = strong_number<struct byte_tag>;

/// @brief Converts a duration to seconds, with the fraction.
inline double to_seconds(duration value) { return std::chrono::duration<double>(value).count(); }

}  // namespace catkintack::base
