/// @file
/// What a host knows of its peers from their heartbeats.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/membership/heartbeat.hpp"

namespace catkintack::membership {

/// @brief When a silent peer counts as gone.
struct peer_table_options {
  base::duration silence_limit = std::chrono::seconds(3);
};

/// @brief A peer as last heard.
struct peer_state {
  heartbeat last;
  base::instant heard_at{};
};

/// @brief The peers heard of late. Not thread-safe.
class peer_table {
 public:
  explicit peer_table(peer_table_options options);

  /// @brief Takes in a heartbeat.
  /// @param now The time.
  /// @param message The heartbeat.
  /// @return False when it is older than what is known and was ignored.
  bool on_heartbeat(base::instant now, const heartbeat& message);

  /// @brief The peers heard within the silence limit that are not leaving.
  /// @param now The time.
  /// @return Their states, ordered by host.
  std::vector<peer_state> live(base::instant now) const;

 private:
  peer_table_options options_;
  std::map<base::host_id, peer_state> peers_;
};

}  // namespace catkintack::membership
