/// @file
/// Several hosts' list and membership cores in virtual time, with faults between them.
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

/// @brief The store in virtual time.
struct virtual_store {
  bool outage = false;
  bool silent_watch = false;
  base::duration delay = std::chrono::milliseconds(1);
  std::map<config::list_kind, std::pair<std::uint64_t, std::string>> values;
};

/// @brief A host in virtual time.
struct virtual_host {
  base::host_id id;
  base::region_id region;
  std::unique_ptr<config::list_sync> lists;
  std::unique_ptr<membership::peer_tracker> fleet;
  bool frozen = false;
  bool started = false;
  base::incarnation run;
  std::uint64_t sequence = 0;
  base::instant next_heartbeat{};
  config::list_stamps highest;  ///< For the check that versions never fall.
  std::vector<std::string> events;
  std::vector<std::function<void()>> inbox;  ///< What arrives while frozen.
};

/// @brief Hosts, network and store in virtual time.
class list_fleet {
 public:
  /// @brief Makes hosts spread over regions in turn; none is started.
  /// @param hosts Their number.
  /// @param regions The number of regions.
  /// @param seed Seed of delays, losses and the hosts' random hooks.
  list_fleet(std::size_t hosts, std::size_t regions, std::uint64_t seed);

  /// @brief Starts a host, anew if it runs already.
  /// @param index The host.
  void start(std::size_t index);
  /// @brief Starts all hosts.
  void start_all();
  /// @brief Lets time pass.
  /// @param span How long.
  void run(base::duration span);
  /// @brief Ends all faults: loss, cuts, freezes, outage, delays, silent watches.
  void heal();

  /// @brief Writes a list as an operator's accepted edit does.
  /// @param kind The list.
  /// @return The new stamp.
  config::list_stamp write(config::list_kind kind);
  /// @brief Sets the store back to an earlier value of a list.
  /// @param kind The list.
  /// @param version The version that it shows.
  void restore(config::list_kind kind, std::uint64_t version);

  /// @brief Whether each started host has at least a version in force.
  bool all_have(config::list_kind kind, base::list_version version) const;

  virtual_store store;
  std::vector<virtual_host> hosts;
  unsigned loss_percent = 0;
  base::duration longest_delay = std::chrono::milliseconds(15);
  std::optional<base::region_id> cut_region;  ///< Cut off from other regions and the store.
  bool version_fell = false;
  std::uint64_t steps = 0;
  std::uint64_t store_calls = 0;

 private:
  struct delivery {
    std::size_t to;
    std::function<void()> run;
  };

  void tick(std::size_t index);
  void apply(std::size_t index, const std::vector<config::list_action>& actions);
  void call_store(std::size_t index,
                  config::list_kind kind,
                  std::optional<std::uint64_t> after,
                  base::duration wait);
  void answer_store(std::size_t index,
                    config::list_kind kind,
                    std::optional<std::uint64_t> after,
                    base::instant until);
  void fetch(std::size_t index, const base::host_id& from);
  void heartbeat(std::size_t index, const std::vector<membership::gateway_record>& targets);
  void later(std::size_t to, base::duration delay, std::function<void()> run);
  bool reachable(std::size_t from, std::size_t to) const;
  bool store_reachable(std::size_t index) const;
  base::duration network_delay();
  std::size_t index_of_host(const base::host_id& host) const;
  void check(std::size_t index);

  base::random_hook random_;
  base::instant now_{};
  std::uint64_t last_run_ = 0;
  std::uint64_t last_edit_ = 0;
  std::multimap<base::instant, delivery> pending_;
  std::map<std::pair<config::list_kind, std::uint64_t>, std::string> written_;
};

}  // namespace catkintack::tests
