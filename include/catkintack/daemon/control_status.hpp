/// @file
/// Snapshot of the control state for other threads.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_body.hpp"
#include "catkintack/membership/heartbeat.hpp"

namespace catkintack::daemon {

/// @brief Snapshot of the control state, served at `/readyz` and `/status`.
struct control_status {
  bool ready = false;
  bool leaving = false;
  bool caught_up = false;  ///< Has had the newest reachable lists since its start or last freeze.
  bool watching = false;   ///< Watches the store on behalf of its region.
  config::list_stamps in_force;
  std::array<config::shared_body, config::list_count>
      bodies;                                ///< Null until the first list of a kind.
  std::vector<membership::heartbeat> peers;  ///< The last heartbeat of each live peer.
};

/// @brief Formats a status as a JSON object.
/// @param host The host that the status belongs to.
/// @param run The incarnation of that host.
std::string to_json(const control_status& status, const base::host_id& host, base::incarnation run);

}  // namespace catkintack::daemon
