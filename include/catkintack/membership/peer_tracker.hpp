/// @file
/// Tracks the other gateway hosts and detects their failures.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/membership/gateway_record.hpp"
#include "catkintack/membership/heartbeat.hpp"
#include "catkintack/membership/peer_change.hpp"
#include "catkintack/membership/peer_state.hpp"

namespace catkintack::membership {

/// @brief Heartbeat interval and failure detection timeouts.
struct peer_tracker_options {
  base::host_id host;
  base::duration interval = std::chrono::milliseconds(500);
  /// Peers that get a heartbeat in each interval, in rotation, so that the cost is constant.
  std::size_t fan_out = 8;
  base::duration min_suspect_timeout = std::chrono::seconds(3);
  std::uint32_t missed_round_count = 3;  ///< Rotations over all peers that a peer may miss.
  base::duration freeze_limit =
      std::chrono::seconds(3);  ///< A longer gap between ticks is a pause.
};

/// @brief Tracks the peers of this host. The host list provides addresses but may be outdated, so a
/// peer that is missing from it is removed only if it sends no heartbeats either. Not thread-safe;
/// the caller passes the current time.
class peer_tracker {
 public:
  explicit peer_tracker(peer_tracker_options options);

  /// @brief Replaces the host list.
  /// @param gateways All gateway hosts in the list; this host's own entry is ignored.
  void on_hosts(const std::vector<gateway_record>& gateways);

  /// @brief Processes a heartbeat.
  /// @return False when the heartbeat was ignored because this host sent it or a newer one is
  /// known.
  bool on_heartbeat(base::instant now, const heartbeat& message);

  /// @brief Updates the health of all peers. A gap between calls that is longer than freeze_limit
  /// counts as a pause of this host.
  void tick(base::instant now);

  /// @brief Returns the health changes since the last call in order, and clears them.
  std::vector<peer_change> take_changes();

  /// @brief Returns the next peers in rotation that are due a heartbeat.
  /// @return Up to fan_out peers of the host list.
  std::vector<gateway_record> next_heartbeat_targets();
  /// @brief Returns all peers of the host list, ordered by host. Used for messages that must not
  /// wait for the rotation.
  std::vector<gateway_record> listed_peers() const;

  /// @brief Returns the peers that are live or suspect, ordered by host.
  std::vector<peer_state> live_peers() const;

  /// @brief Returns the time without a heartbeat after which a peer is suspect. After twice this
  /// time it is gone.
  base::duration suspect_timeout() const;

 private:
  void update_health(base::instant now, peer_state& peer);
  void set_health(peer_state& peer, peer_health health);

  peer_tracker_options options_;
  std::map<base::host_id, peer_state> peers_;
  std::map<base::host_id, gateway_record> listed_;
  std::vector<peer_change> changes_;
  std::optional<base::instant> last_tick_;
  base::host_id last_target_;
};

}  // namespace catkintack::membership
