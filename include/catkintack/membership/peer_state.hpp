/// @file
/// What this host knows about a peer.
#pragma once

#include "catkintack/base/units.hpp"
#include "catkintack/membership/gateway_record.hpp"
#include "catkintack/membership/heartbeat.hpp"

namespace catkintack::membership {

/// @brief Result of failure detection for a peer.
enum class peer_health {
  unheard,  ///< Listed, but no heartbeat was received yet.
  live,     ///< A heartbeat was received recently.
  suspect,  ///< No heartbeat within the suspect timeout; still counted as live.
  gone,     ///< No heartbeat for twice the timeout, or the peer announced that it leaves.
};

/// @brief State of a peer: its entry in the host list and its last heartbeat.
struct peer_state {
  gateway_record record;
  heartbeat last_heartbeat;
  base::instant heard_at{};
  peer_health health = peer_health::unheard;
};

}  // namespace catkintack::membership
