/// @file
/// The part of all caps that a host may use while it is cut off.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief A part of an authority's share of each cap, for use only while no authority answers.
struct quota_lease {
  base::incarnation run{};       ///< Run of the authority that gave it; 0: none was given.
  base::instant sent_at{};       ///< Clock of the authority; identifies its reply.
  double share = 0;              ///< Fraction of the authority's share.
  std::uint32_t host_count = 0;  ///< Hosts counted by the authority.

  bool operator==(const quota_lease&) const = default;
};

}  // namespace catkintack::limits
