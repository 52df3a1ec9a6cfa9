/// @file
/// A peer as this host knows it.
#pragma once

#include "catkintack/base/units.hpp"
#include "catkintack/membership/gateway_record.hpp"
#include "catkintack/membership/heartbeat.hpp"

namespace catkintack::membership {

/// @brief How sure this host is that a peer lives.
enum class peer_health {
  unheard,  ///< Listed, and not heard yet.
  live,     ///< Heard of late.
  suspect,  ///< Silent for longer than its heartbeats explain; still counted.
  gone,     ///< Silent for twice that, or it has announced that it leaves.
};

/// @brief A peer: its entry in the host list and its last heartbeat.
struct peer_state {
  gateway_record record;
  heartbeat last_heartbeat;
  base::instant heard_at{};
  peer_health health = peer_health::unheard;
};

}  // namespace catkintack::membership
