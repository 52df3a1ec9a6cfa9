/// @file
/// What the operators' configuration says about a customer.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::routes {

/// @brief A customer's keys, rank, cap and residency.
struct customer_policy {
  /// Ranks after every rank that operators set.
  static constexpr std::uint32_t unranked = std::numeric_limits<std::uint32_t>::max();

  base::customer_id id;
  std::vector<std::string> key_hashes{};   ///< SHA-256 of each key, as config::hash_key returns it.
  std::uint32_t priority_rank = unranked;  ///< 0 is the highest priority.
  double rate_per_second = 0;  ///< Sustained calls per second over all hosts; 0: no cap.
  std::uint32_t burst = 0;     ///< Calls at once above the rate.
  std::vector<base::region_id> allowed_regions{};  ///< Sorted; empty: all.

  bool operator==(const customer_policy&) const = default;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, key_hashes, priority_rank, rate_per_second, burst, allowed_regions);
  }
};

}  // namespace catkintack::routes
