/// @file
/// Simulates list synchronization and membership of several hosts in virtual time, with faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/config/list_document.hpp"
#include "catkintack/config/list_sync.hpp"
#include "catkintack/membership/peer_tracker.hpp"

namespace catkintack::tests {

/// @brief The simulated store.
struct simulated_store {
  bool outage = false;
  bool silent_watch = false;
  base::duration delay = std::chrono::milliseconds(1);
  std::map<config::list_kind, std::pair<std::uint64_t, std::string>> values;
};

/// @brief A simulated host.
struct simulated_host {
  base::host_id id;
  base::region_id region;
  std::unique_ptr<config::list_sync> lists;
  std::unique_ptr<membership::peer_tracker> peers;
  bool paused = false;
  bool started = false;
  base::incarnation incarnation;
  std::uint64_t sequence = 0;
  base::instant next_heartbeat{};
  config::list_stamps highest_in_force;  ///< Used to check that versions never decrease.
  std::vector<std::string> events;
  std::vector<std::function<void()>> deferred_messages;  ///< Arrived while the host is paused.
};

/// @brief Hosts, network and store, simulated in virtual time.
class list_sync_simulation {
 public:
  /// @brief Creates hosts, assigned to regions round-robin; none is started.
  /// @param hosts The number of hosts.
  /// @param regions The number of regions.
  /// @param seed Seed of network delays, losses and the hosts' random hooks.
  list_sync_simulation(std::size_t hosts, std::size_t regions, std::uint64_t seed);

  /// @brief Starts a host, or restarts it if it is running.
  void start(std::size_t index);
  /// @brief Starts all hosts.
  void start_all();
  /// @brief Advances virtual time by a span and processes all events due in it.
  void run(base::duration span);
  /// @brief Clears all faults: message loss, isolated region, paused hosts, store outage, delays
  /// and silent watches.
  void clear_faults();

  /// @brief Writes the next version of a list, as an accepted operator edit does.
  /// @return The new stamp.
  config::list_stamp write(config::list_kind kind);
  /// @brief Resets the store to an earlier version of a list, as a restore from backup does.
  /// @param kind The list.
  /// @param version The version that the store returns from now on.
  void restore(config::list_kind kind, std::uint64_t version);

  /// @brief Whether every started host has at least this version in force.
  bool all_have_in_force(config::list_kind kind, base::list_version version) const;

  simulated_store store;
  std::vector<simulated_host> hosts;
  unsigned loss_percent = 0;
  base::duration max_delay = std::chrono::milliseconds(15);
  /// Disconnected from the other regions and the store.
  std::optional<base::region_id> isolated_region;
  bool version_decreased = false;
  std::uint64_t deliveries = 0;
  std::uint64_t store_calls = 0;

 private:
  struct pending_message {
    std::size_t to;
    std::function<void()> run;
  };

  void tick(std::size_t index);
  void apply(std::size_t index, const std::vector<config::list_action>& actions);
  void call_store(std::size_t index,
                  config::list_kind kind,
                  std::optional<std::uint64_t> after,
                  base::duration wait);
  void answer_store_call(std::size_t index,
                         config::list_kind kind,
                         std::optional<std::uint64_t> after,
                         base::instant until);
  void fetch_from_peer(std::size_t index, const base::host_id& from);
  void send_heartbeats(std::size_t index, const std::vector<membership::gateway_record>& targets);
  void schedule(std::size_t to, base::duration delay, std::function<void()> run);
  bool reachable(std::size_t from, std::size_t to) const;
  bool store_reachable(std::size_t index) const;
  base::duration network_delay();
  std::size_t index_of_host(const base::host_id& host) const;
  void check_versions(std::size_t index);

  base::random_hook random_;
  base::instant now_{};
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_edit_ = 0;
  std::multimap<base::instant, pending_message> pending_;
  std::map<std::pair<config::list_kind, std::uint64_t>, std::string> written_;
};

}  // namespace catkintack::tests
