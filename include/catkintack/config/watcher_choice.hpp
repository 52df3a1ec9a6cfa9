/// @file
/// Which hosts of a region watch the store.
#pragma once

#include <cstddef>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::config {

/// @brief Decides by rendezvous hashing, so that hosts that know the same peers agree unasked.
/// @param self This host.
/// @param others The other live hosts of its region.
/// @param watchers How many hosts of a region watch.
/// @return Whether this host is one of them.
bool watches_store(const base::host_id& self,
                   const std::vector<base::host_id>& others,
                   std::size_t watchers);

}  // namespace catkintack::config
