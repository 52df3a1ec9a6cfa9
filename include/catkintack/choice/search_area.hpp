/// @file
/// Division of a service's upstreams into those searched first, searched later and never.
#pragma once

#include <cstdint>
#include <utility>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/residence.hpp"

namespace catkintack::choice {

/// @brief When the upstreams of a region are searched.
enum class search_place : std::uint8_t {
  near,     ///< First, like the host's own region.
  far,      ///< When the near ones are busy, within the byte budget.
  excluded  ///< Never.
};

/// @brief The regions in which a host searches an upstream for one call.
class search_area {
 public:
  /// @param own_region Region of the host.
  /// @param has_own_upstream Whether the service has an allowed upstream in the own region.
  search_area(base::region_id own_region, residence allowed, bool has_own_upstream)
      : own_region_(std::move(own_region)),
        allowed_(std::move(allowed)),
        own_region_replaced_(allowed_.restricted() && !has_own_upstream) {}

  /// @brief Whether the allowed regions take the place of the own one: a restricted call has no
  /// allowed upstream there.
  bool own_region_replaced() const { return own_region_replaced_; }
  /// @brief Returns when the upstreams of a region are searched.
  search_place place_of(const base::region_id& region) const;

 private:
  base::region_id own_region_;
  residence allowed_;
  bool own_region_replaced_;
};

}  // namespace catkintack::choice
