/// @file
/// Regions whose upstreams and hosts may serve a call.
#pragma once

#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::choice {

/// @brief A set of allowed regions: all, some or none.
///
/// An empty list in the configuration means "all", while two lists without a common region allow
/// none, so that a list alone cannot hold the intersection.
class residence {
 public:
  /// @brief Allows all regions.
  residence() = default;
  /// @brief Allows the regions that a route or a customer lists.
  /// @param listed In any order; empty: all regions.
  static residence of(std::vector<base::region_id> listed);
  /// @brief Allows no region.
  static residence nowhere();

  /// @brief Whether some region is not allowed.
  bool restricted() const { return restricted_; }
  /// @brief Whether no region is allowed.
  bool allows_nothing() const { return restricted_ && regions_.empty(); }
  /// @brief Whether a region is allowed. A host or an upstream without a known region is allowed
  /// only if all regions are.
  bool allows(const base::region_id& region) const;
  /// @brief Returns the allowed regions, sorted; empty if all or none are allowed.
  const std::vector<base::region_id>& regions() const { return regions_; }
  /// @brief Returns the regions that both allow.
  residence intersect(const residence& other) const;

  bool operator==(const residence&) const = default;

 private:
  bool restricted_ = false;
  std::vector<base::region_id> regions_;  ///< Sorted, without repetitions.
};

}  // namespace catkintack::choice
