/// @file
/// The gateway hosts as one of them knows them.
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

/// @brief Pace of heartbeats and patience with silent peers.
struct peer_tracker_options {
  base::host_id host;
  base::duration interval = std::chrono::milliseconds(500);
  std::size_t fan_out = 8;  ///< Peers told in each interval, in turn, so that cost is constant.
  base::duration min_suspect_timeout = std::chrono::seconds(3);
  std::uint32_t missed_round_count = 3;  ///< Rounds over all peers that may be missed.
  base::duration freeze_limit = std::chrono::seconds(3);  ///< A longer gap of ticks is a freeze.
};

/// @brief The peers of this host. The host list is a hint that lags: it gives addresses, and a
/// peer is dropped only when it is silent as well. Not thread-safe; time is an argument.
class peer_tracker {
 public:
  explicit peer_tracker(peer_tracker_options options);

  /// @brief Takes in a reading of the host list.
  /// @param gateways The gateway hosts that it shows.
  void on_hosts(const std::vector<gateway_record>& gateways);

  /// @brief Takes in a heartbeat.
  /// @param now The time.
  /// @param message The heartbeat.
  /// @return False when it is this host's own, or older than what is known, and was ignored.
  bool on_heartbeat(base::instant now, const heartbeat& message);

  /// @brief Takes in the time.
  /// @param now The time.
  void tick(base::instant now);

  /// @brief The changes since the last call, for the time line.
  /// @return The changes in order.
  std::vector<peer_change> take_changes();

  /// @brief The peers whose turn it is to be told, with addresses.
  /// @return Up to fan_out peers that are listed.
  std::vector<gateway_record> next_heartbeat_targets();
  /// @brief All listed peers, for news that must not wait.
  /// @return The peers, ordered by host.
  std::vector<gateway_record> listed_peers() const;

  /// @brief The peers that are live or suspect.
  /// @return Their states, ordered by host.
  std::vector<peer_state> live_peers() const;

  /// @brief How long a peer may be silent before it is suspect; twice this and it is gone.
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
