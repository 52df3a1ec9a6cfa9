/// @file
/// A live peer as far as the spread of lists is concerned.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/config/list_stamp.hpp"

namespace catkintack::config {

/// @brief A live peer and the versions that it has in force.
struct list_peer {
  base::host_id host;
  base::region_id region;
  base::instant heard_at{};
  list_stamps in_force;
};

}  // namespace catkintack::config
