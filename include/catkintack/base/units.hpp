/// @file
/// Units of time and size.
#pragma once

#include <chrono>
#include <cstdint>

#include "catkintack/base/strong_number.hpp"

namespace catkintack::base {

/// Span of time; resolution is one microsecond.
using duration = std::chrono::microseconds;
/// A point on a host's monotonic clock; never compared between hosts.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;
/// A point on a host's wall clock; clocks of hosts may differ.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;
/// A size in bytes.
using byte_count = strong_number<struct byte_tag>;

/// @brief Converts a span to seconds.
/// @param span The span.
/// @return Seconds, with fraction.
inline double to_seconds(duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace catkintack::base
