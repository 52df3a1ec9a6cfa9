/// @file
/// Crashes of upstreams that were running the same request.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::choice {

/// @brief One crash: an incarnation of an upstream ends only once.
struct crash_id {
  base::upstream_id upstream;
  base::incarnation run;

  auto operator<=>(const crash_id&) const = default;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, run);
  }
};

/// @brief The crashes in which one request was lost, as hosts share them through the registry.
struct crash_record {
  base::request_fingerprint fingerprint;
  std::vector<crash_id> crashes{};  ///< Distinct.
  std::int64_t last_seen_ms = 0;    ///< Unix time of the last report, by the clock of its host.
  std::uint64_t revision = 0;       ///< Of the registry entry; 0 if there is none.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, crashes, last_seen_ms, revision);
  }
};

}  // namespace catkintack::choice
