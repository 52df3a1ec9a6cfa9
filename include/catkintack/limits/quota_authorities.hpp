/// @file
/// Which hosts hold the caps of customers.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "catkintack/base/address.hpp"

namespace catkintack::limits {

/// @brief The authorities in force. Each slot holds an equal part of each cap and has one holder.
///
/// The greater of two values is the later one. The registry holds the latest; epochs are assigned
/// by conditional writes to it.
struct quota_authorities {
  std::uint64_t epoch = 0;             ///< Increases with each change; 0: not known.
  std::vector<base::address> holders;  ///< UDP address of the holder of each slot.

  auto operator<=>(const quota_authorities&) const = default;
};

}  // namespace catkintack::limits
