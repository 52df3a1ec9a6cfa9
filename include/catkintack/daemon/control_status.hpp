/// @file
/// The control state as other threads see it.
#pragma once

#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/membership/heartbeat.hpp"

namespace catkintack::daemon {

/// @brief A snapshot for `/readyz`, `/status` and the command line.
struct control_status {
  bool ready = false;
  bool leaving = false;
  base::list_version plans;
  base::list_version allowances;
  std::vector<membership::heartbeat> peers;  ///< The last heartbeat of each live peer.
};

/// @brief Writes a status as JSON.
/// @param status The status.
/// @param host The host it belongs to.
/// @param run The host's incarnation.
/// @return One JSON object.
std::string to_json(const control_status& status, const base::host_id& host, base::incarnation run);

}  // namespace catkintack::daemon
