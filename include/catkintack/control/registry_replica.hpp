/// @file
/// Applies registry state received from the registry or from other hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string_view>
#include <vector>

#include "catkintack/control/change_log.hpp"
#include "catkintack/control/registry_snapshot.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief Grace periods of a replica.
struct replica_options {
  /// How long a removed upstream may still be used as a last resort. An entry can expire although
  /// its upstream is alive; within the drain timeout this does no harm.
  base::duration removal_grace = std::chrono::milliseconds(1000);
  /// How long entries that expired during a registry outage have to reappear after it.
  base::duration recovery_grace = std::chrono::milliseconds(2000);
  /// How long evacuations that a restored registry has lost stay in force: operators take longer
  /// than upstreams to write again.
  base::duration evacuation_grace = std::chrono::seconds(15);
  /// Whether this host is a seed. Hop counts start at the seeds: other hosts watch the registry
  /// only for the time being.
  bool is_seed = false;
};

/// @brief A local replica of the registry; the only writer of routes and upstreams. Not
/// thread-safe.
class registry_replica {
 public:
  registry_replica(serving::traffic_state& state, replica_options options = {});

  /// @brief Applies a batch of changes; a batch without anything new is ignored.
  /// @return False if batches before it are missing, or if it belongs to a later era than the
  /// replica, which needs a snapshot.
  bool apply(const change_batch& batch, std::string_view source);
  /// @brief Applies a snapshot that is newer than the replica; of an older one only the table, if
  /// the replica lacks it. A snapshot of a later era comes from a registry that was restored from
  /// an older copy: routes and departures that are known from before stay in force.
  /// @return Whether the snapshot was newer.
  bool apply_snapshot(registry_snapshot snapshot, std::string_view source);

  /// @brief Activates a route table if its version is higher than that of the active one.
  void apply_table(routes::route_table table, std::string_view source);
  /// @brief Whether another host announced a newer table without sending it, or sent a difference
  /// to a version that this host does not have.
  bool lacks_table() const;

  /// @brief Called when the registry is unreachable and no publisher keeps this host up to date.
  void on_registry_lost(std::string_view reason);
  /// @brief Called when the registry confirmed the state of this replica.
  /// @param confirmed Time of the confirmation.
  /// @param source The registry or the host that reports the confirmation.
  void on_registry_reached(base::instant confirmed, std::string_view source);
  /// @brief Whether the registry answered the last call, from this host or from a publisher.
  bool registry_reachable() const { return registry_reachable_; }

  /// @brief Sets whether this host has a pending watch at the registry.
  void set_watching(bool watching);
  /// @brief Sets the number of hosts between this one and a seed that watches the registry, as
  /// reported by the publishers.
  void set_publisher_hops(std::uint32_t hops) { hops_ = hops; }
  /// @brief Returns that number; 0 while this host is a seed that watches the registry.
  std::uint32_t hops() const { return watching_ && options_.is_seed ? 0 : hops_; }
  /// @brief Whether this host has a pending watch at the registry.
  bool watching() const { return watching_; }
  /// @brief Returns the time since the registry confirmed the state of this replica, or since the
  /// watch began. A pending watch alone confirms nothing: a registry that fell silent looks like
  /// one without changes.
  base::duration age() const;

  /// @brief Whether any state of the registry has been applied.
  bool has_state() const { return revision_ != registry_revision{}; }
  /// @brief Returns the registry revision of this replica.
  registry_revision revision() const { return revision_; }
  /// @brief Returns the most recent changes, for hosts that are behind.
  const change_log& changes() const { return changes_; }
  /// @brief Returns the full state, for another host.
  registry_snapshot snapshot() const;

  /// @brief Sets a hook that is called after each change, and when the watch of this host ends.
  void on_change(std::function<void()> hook) { on_change_ = std::move(hook); }

 private:
  /// @brief Applies the routes of a batch, and replaces a table by its difference to the one before
  /// where that is small.
  void apply_routes(change_batch& batch, std::string_view source);
  void apply_crashes(const change_batch& batch);
  void apply_evacuations(const change_batch& batch, std::string_view source);
  void replace_evacuations(const std::set<base::failure_domain_id>& listed,
                           bool restored,
                           std::string_view source);
  void log_evacuation(std::string_view event,
                      const base::failure_domain_id& domain,
                      std::string_view source);
  void put(const directory::endpoint& upstream, std::string_view source);
  void remove(const base::upstream_id& id, std::string_view source);
  void on_registry_restored(const registry_revision& restored, std::string_view source);
  base::instant removal_deadline() const;
  void notify_change() const;

  serving::traffic_state& state_;
  replica_options options_;
  registry_revision revision_;
  change_log changes_;
  std::uint64_t newest_table_version_ = 0;  ///< Newest version received or announced.
  std::uint32_t hops_ = 0;
  bool registry_reachable_ = true;
  bool watching_ = false;
  base::instant watching_since_ = base::instant::min();
  base::instant confirmed_at_ = base::instant::min();
  /// Last recovery of the registry after an outage.
  base::instant recovered_at_ = base::instant::min();
  std::function<void()> on_change_;
};

}  // namespace catkintack::control
