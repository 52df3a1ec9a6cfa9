/// @file
/// Incarnations of upstreams that have left.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::directory {

/// @brief Why an incarnation counts as departed.
enum class departure_reason : std::uint8_t {
  entry_removed,  ///< Its entry was removed, which also happens when an entry merely expires.
  announced       ///< It announced that it is leaving, which is final for the incarnation.
};

/// @brief Remembers departed incarnations after their entries are gone. Not thread-safe.
///
/// A registry that is restored from an older copy lists upstreams again that have left since.
class departure_log {
 public:
  /// @param retention How long a departure is remembered.
  explicit departure_log(base::duration retention = std::chrono::minutes(10))
      : retention_(retention) {}

  /// @brief Records a departure. An announced one stays announced.
  void record(const base::upstream_id& id,
              base::incarnation run,
              departure_reason reason,
              base::instant now);
  /// @brief Whether this incarnation, or a later one, departed for whatever reason.
  bool departed(const base::upstream_id& id, base::incarnation run) const;
  /// @brief Whether this incarnation, or a later one, announced that it is leaving.
  bool announced(const base::upstream_id& id, base::incarnation run) const;
  /// @brief Forgets departures that are older than the retention.
  void expire(base::instant now);

 private:
  struct departure {
    base::incarnation run;
    departure_reason reason = departure_reason::entry_removed;
    base::instant at;
  };
  base::duration retention_;
  std::map<base::upstream_id, departure> departures_;
};

}  // namespace catkintack::directory
