/// @file
/// The control state as other threads see it.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_body.hpp"
#include "catkintack/membership/heartbeat.hpp"

namespace catkintack::daemon {

/// @brief A snapshot for `/readyz`, `/status` and the command line.
struct control_status {
  bool ready = false;
  bool leaving = false;
  bool caught_up = false;  ///< Had the newest lists it could learn since its start or freeze.
  bool watching = false;   ///< Watches the store for its region.
  config::list_stamps in_force;
  std::array<config::shared_body, config::list_count> bodies;  ///< Null before the first.
  std::vector<membership::heartbeat> peers;  ///< The last heartbeat of each live peer.
};

/// @brief Writes a status as JSON.
/// @param status The status.
/// @param host The host it belongs to.
/// @param run The host's incarnation.
/// @return One JSON object.
std::string to_json(const control_status& status, const base::host_id& host, base::incarnation run);

}  // namespace catkintack::daemon
