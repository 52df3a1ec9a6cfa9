/// @file
/// Decides which versions of the lists this host uses, and where it gets newer ones from.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/config/list_action.hpp"
#include "catkintack/config/list_peer.hpp"

namespace catkintack::config {

/// @brief Identity of this host, and the timeouts and intervals of list_sync.
struct list_sync_options {
  base::host_id host;
  base::region_id region;
  std::size_t watchers_per_region = 2;
  /// Timeout of a watch; a read follows it, in case the watch missed a change.
  base::duration watch_timeout = std::chrono::seconds(2);
  /// Shortest time between the starts of two store calls for the same list.
  base::duration min_call_interval = std::chrono::milliseconds(200);
  base::duration min_backoff = std::chrono::milliseconds(250);
  base::duration max_backoff = std::chrono::seconds(2);
  /// Time before a peer that did not respond to a fetch is asked again.
  base::duration fetch_retry_delay = std::chrono::milliseconds(250);
  /// Time for a peer in the same region to get the newer list before other regions are asked.
  base::duration remote_region_fetch_delay = std::chrono::seconds(1);
  /// Time to receive heartbeats from the peers after a start or freeze.
  base::duration settle_time = std::chrono::milliseconds(1500);
  /// A longer gap between ticks counts as a freeze of this host.
  base::duration freeze_limit = std::chrono::seconds(3);
};

/// @brief Synchronizes the lists of one host with the store and the peers. Not thread-safe; the
/// caller passes the current time and a source of randomness.
///
/// The versions in use never decrease. A store that was restored from an old backup is reported
/// and ignored; so are older lists from peers, without a report.
class list_sync {
 public:
  list_sync(list_sync_options options, base::random_hook random);

  using actions = std::vector<list_action>;

  /// @brief Starts store calls and fetches that are due. Call it at least every few hundred
  /// milliseconds.
  /// @param live All live peers.
  /// @return Actions for the caller.
  actions tick(base::instant now, const std::vector<list_peer>& live);

  /// @brief Processes a list read from the store.
  /// @param revision The revision of the list's key in the store.
  /// @return Actions for the caller.
  actions on_store_value(std::uint64_t revision, list_body body);
  /// @brief Processes a watch that timed out without a change.
  /// @return Actions for the caller.
  actions on_store_unchanged(list_kind kind);
  /// @brief Processes a failed store call: the store did not respond, or the value is not a valid
  /// list.
  /// @return Actions for the caller.
  actions on_store_failed(base::instant now, list_kind kind);
  /// @brief Processes lists from a peer, which may arrive at any later time.
  /// @return Actions for the caller.
  actions on_fetched(const std::vector<list_body>& bodies);
  /// @brief Processes a fetch that a peer did not respond to.
  /// @return Actions for the caller.
  actions on_fetch_failed(base::instant now, const base::host_id& from);

  /// @brief Returns whether this host, at any time since its start or last freeze, had the newest
  /// lists known to the store or the peers.
  bool caught_up() const { return caught_up_; }
  /// @brief Returns whether this host watches the store for its region.
  bool watching() const { return watching_; }
  /// @brief Returns the stamps of the lists in use.
  list_stamps in_force() const;
  /// @brief Returns the lists in use; null for a list that was not received yet.
  const std::array<shared_body, list_count>& bodies() const { return bodies_; }

 private:
  enum class call_state { idle, waiting, read_next };

  struct store_state {
    call_state call = call_state::idle;
    base::instant called_at{};
    base::instant next_call{};
    base::duration backoff{};
    std::uint64_t revision = 0;
    bool answered = false;  ///< The store returned the list since the start or last freeze.
    bool available = true;  ///< The store responded to the last call.
    list_stamp last_fault;  ///< The older or diverged stamp that was reported last.
    bool fault_reported = false;
  };

  void detect_freeze(base::instant now);
  void update_watching(const std::vector<list_peer>& live);
  void call_store(base::instant now, list_kind kind, actions& out);
  void fetch(base::instant now, const std::vector<list_peer>& live, actions& out);
  void update_caught_up(base::instant now, const std::vector<list_peer>& live, actions& out);
  bool has_newer_list(const list_peer& peer) const;
  bool may_fetch_from(base::instant now, const list_peer& peer) const;
  void adopt_if_newer(list_body body, actions& out);
  void report_store_fault(const list_body& body, actions& out);

  list_sync_options options_;
  base::random_hook random_;
  std::array<shared_body, list_count> bodies_;
  std::array<store_state, list_count> store_;
  std::optional<base::instant> last_tick_;
  base::instant started_at_{};  ///< Time of the start, or end of the last freeze.
  std::optional<base::instant> behind_since_;
  bool fetching_ = false;
  std::map<base::host_id, base::instant> retry_after_;
  bool watching_ = false;
  bool caught_up_ = false;
};

}  // namespace catkintack::config
