/// @file
/// A registry entry for one running upstream.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::directory {

/// @brief An upstream's own registry entry, with the incarnation that wrote it.
struct endpoint {
  routing::upstream_record record;
  base::incarnation run;          ///< Start time of the upstream, Unix milliseconds; 0 if unknown.
  base::duration warm_up_left{};  ///< Remaining warm-up time when the entry was written.

  bool operator==(const endpoint&) const = default;

  /// @brief Serializes with cereal; durations are encoded as microseconds.
  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t warm_up_us = warm_up_left.count();
    archive(record.id, record.service, record.where, record.region, record.failure_domain,
            record.slots, record.leaving, run, warm_up_us);
    warm_up_left = base::duration(warm_up_us);
  }
};

}  // namespace catkintack::directory
