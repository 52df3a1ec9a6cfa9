/// @file
/// Changes to what is known about the warm-up of upstreams.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::serving {

struct traffic_state;

/// @brief Records that an upstream said in a probe response how much longer it is warming up. No
/// effect for a service without a warm-up rate.
/// @param left Zero if it is warm.
void observe_warm_up(traffic_state& state, const base::upstream_id& upstream, base::duration left);

/// @brief Removes the permits of upstreams whose warm-up has ended and that named no limit.
void drop_finished_warm_ups(traffic_state& state);

}  // namespace catkintack::serving
