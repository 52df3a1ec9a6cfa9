/// @file
/// The state of a live peer that list_sync uses.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/config/list_stamp.hpp"

namespace catkintack::config {

/// @brief A live peer and the versions of the lists that it uses.
struct list_peer {
  base::host_id host;
  base::region_id region;
  base::instant heard_at{};  ///< When its last heartbeat was received.
  list_stamps in_force;
};

}  // namespace catkintack::config
