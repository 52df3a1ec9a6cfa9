/// @file
/// Decides which versions of the lists are in force on this host, and where to learn newer ones.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/config/list_action.hpp"
#include "catkintack/config/list_peer.hpp"

namespace catkintack::config {

/// @brief Who this host is, and the pace of learning.
struct list_sync_options {
  base::host_id host;
  base::region_id region;
  std::size_t watchers_per_region = 2;
  base::duration watch_wait = std::chrono::seconds(2);  ///< After it, a read checks the watch.
  base::duration call_interval = std::chrono::milliseconds(200);  ///< Least, of a list's calls.
  base::duration shortest_backoff = std::chrono::milliseconds(250);
  base::duration longest_backoff = std::chrono::seconds(2);
  base::duration fetch_retry = std::chrono::milliseconds(250);  ///< Before a peer is asked again.
  base::duration far_fetch_delay = std::chrono::seconds(1);  ///< Wait for a holder in the region.
  base::duration settle_time = std::chrono::milliseconds(1500);  ///< To hear from the peers.
  base::duration freeze_limit = std::chrono::seconds(3);  ///< A longer gap of ticks is a freeze.
};

/// @brief The spread of lists on one host. Not thread-safe; time and randomness are arguments.
/// Versions in force only rise. Stores restored from an old copy and peers that lag are reported
/// and not followed.
class list_sync {
 public:
  list_sync(list_sync_options options, base::random_hook random);

  using actions = std::vector<list_action>;

  /// @brief Takes in the time; call it every few hundred milliseconds or more often.
  /// @param now The time.
  /// @param live The live peers.
  /// @return What is to be done.
  actions tick(base::instant now, const std::vector<list_peer>& live);

  /// @brief Takes in a value read from the store.
  /// @param revision The store's revision.
  /// @param body The list.
  /// @return What is to be done.
  actions on_store_value(std::uint64_t revision, list_body body);
  /// @brief Takes in that a watch ended without a change.
  /// @param kind The list watched.
  /// @return What is to be done.
  actions on_store_unchanged(list_kind kind);
  /// @brief Takes in that the store gave no answer, or a value that is no list.
  /// @param now The time.
  /// @param kind The list asked for.
  /// @return What is to be done.
  actions on_store_failed(base::instant now, list_kind kind);
  /// @brief Takes in bodies from a peer, however late.
  /// @param bodies The lists.
  /// @return What is to be done.
  actions on_fetched(const std::vector<list_body>& bodies);
  /// @brief Takes in that a peer did not answer a fetch.
  /// @param now The time.
  /// @param from The peer.
  /// @return What is to be done.
  actions on_fetch_failed(base::instant now, const base::host_id& from);

  /// @brief Whether this host has had, since its start or last freeze, the newest it could learn.
  bool caught_up() const { return caught_up_; }
  /// @brief Whether this host watches the store for its region.
  bool watching() const { return watching_; }
  /// @brief The stamps in force.
  list_stamps in_force() const;
  /// @brief The bodies in force; null before the first adoption.
  const std::array<shared_body, list_count>& bodies() const { return bodies_; }

 private:
  enum class call_state { idle, waiting, read_next };

  struct source_state {
    call_state call = call_state::idle;
    base::instant called_at{};
    base::instant next_call{};
    base::duration backoff{};
    std::uint64_t revision = 0;
    bool answered = false;  ///< The store answered since the start or last freeze.
    bool available = true;  ///< The last call was answered.
    list_stamp last_fault;  ///< The old or diverged stamp last reported.
    bool fault_reported = false;
  };

  void notice_freeze(base::instant now);
  void choose_watcher(const std::vector<list_peer>& live);
  void call_store(base::instant now, list_kind kind, actions& out);
  void fetch(base::instant now, const std::vector<list_peer>& live, actions& out);
  void judge_caught_up(base::instant now, const std::vector<list_peer>& live, actions& out);
  bool newer(const list_peer& peer) const;
  bool may_ask(base::instant now, const list_peer& peer) const;
  void consider(list_body body, actions& out);
  void check_store(const list_body& body, actions& out);

  list_sync_options options_;
  base::random_hook random_;
  std::array<shared_body, list_count> bodies_;
  std::array<source_state, list_count> store_;
  std::optional<base::instant> last_tick_;
  base::instant since_{};  ///< Start, or end of the last freeze.
  std::optional<base::instant> behind_since_;
  bool fetching_ = false;
  std::map<base::host_id, base::instant> ask_again_;
  bool watching_ = false;
  bool caught_up_ = false;
};

}  // namespace catkintack::config
