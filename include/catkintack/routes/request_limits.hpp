/// @file
/// Limits on callers' requests.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::routes {

/// @brief Limits set by the operators. The defaults apply until a route table is known.
struct request_limits {
  std::uint64_t max_header_bytes = 16384;                   ///< Request line and headers.
  std::uint64_t max_body_bytes = 8U << 20U;                 ///< Decoded body.
  base::duration header_timeout = std::chrono::seconds(3);  ///< First byte to end of headers.
  base::duration idle_timeout = std::chrono::seconds(15);   ///< Between two requests.

  bool operator==(const request_limits&) const = default;

  /// @brief Serializes with cereal; durations are encoded in microseconds.
  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t header_us = header_timeout.count();
    std::int64_t idle_us = idle_timeout.count();
    archive(max_header_bytes, max_body_bytes, header_us, idle_us);
    header_timeout = base::duration(header_us);
    idle_timeout = base::duration(idle_us);
  }
};

}  // namespace catkintack::routes
