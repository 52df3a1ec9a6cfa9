/// @file
/// Chooses the hosts of a region that watch the store.
#pragma once

#include <cstddef>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::config {

/// @brief Returns whether this host watches the store. Uses rendezvous hashing, so that hosts that
/// know the same peers agree without communication.
/// @param others The other live hosts in the region.
/// @param watchers The number of hosts per region that watch.
bool watches_store(const base::host_id& self,
                   const std::vector<base::host_id>& others,
                   std::size_t watchers);

}  // namespace catkintack::config
