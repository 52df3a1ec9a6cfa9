/// @file
/// Puts what is learnt from the registry or from other hosts into force.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "catkintack/control/change_log.hpp"
#include "catkintack/control/knowledge_snapshot.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief Times of the keeper.
struct keeper_options {
  /// How long a removed upstream may still be used as a last resort. An entry may lapse although
  /// its upstream lives; within the bound for leaving upstreams this does no harm.
  base::duration removal_grace = std::chrono::milliseconds(1000);
  /// How long entries that lapsed while the registry was out have to come back after its return.
  base::duration return_grace = std::chrono::milliseconds(2000);
};

/// @brief The one place where routes and upstreams change. Not thread-safe.
class knowledge_keeper {
 public:
  knowledge_keeper(serving::traffic_state& state, keeper_options options = {});

  /// @brief Takes a step forward.
  /// @return False if steps before it are missing; one that brings nothing new is passed over.
  bool apply(const change_batch& batch, std::string_view source);
  /// @brief Takes a full listing that is newer than what is known; of an older one the table, if
  /// that is newer.
  /// @return Whether the listing was newer.
  bool adopt(knowledge_snapshot snapshot, std::string_view source);

  /// @brief Puts a route table into force if its version is higher than the one in force.
  void adopt_table(routes::route_table table, std::string_view source);
  /// @brief Whether another host told of a newer table without the table itself.
  bool lacks_table() const;

  /// @brief The registry cannot be reached, and no other host tells of it.
  void on_registry_lost(std::string_view why);
  /// @brief The registry confirmed what is known.
  /// @param confirmed When it did.
  /// @param source Who says so.
  void on_registry_reached(base::instant confirmed, std::string_view source);
  /// @brief Whether the registry answered last, here or elsewhere.
  bool registry_reached() const { return reached_; }

  /// @brief This host waits for changes at the registry itself, and the call stands.
  void watching(bool stands);
  /// @brief Hosts between this one and one that watches the registry, as its publishers say.
  void informed_over(std::uint32_t hops) { hops_ = hops; }
  /// @brief The same; 0 while this host watches the registry itself.
  std::uint32_t hops() const { return watching_ ? 0 : hops_; }
  /// @brief Time since the registry confirmed what is known.
  base::duration age() const;

  /// @brief The registry's revision that is reflected here.
  std::uint64_t revision() const { return revision_; }
  /// @brief The latest steps, for hosts that are behind.
  const change_log& changes() const { return changes_; }
  /// @brief What is known, for another host.
  knowledge_snapshot snapshot() const;

  /// @brief Calls a hook after each step, and when the registry is lost here.
  void on_change(std::function<void()> hook) { on_change_ = std::move(hook); }

 private:
  void put(const directory::endpoint& upstream, std::string_view source);
  void remove(const base::upstream_id& id, std::string_view source);
  base::instant keep_missing_until() const;
  void changed() const;

  serving::traffic_state& state_;
  keeper_options options_;
  std::uint64_t revision_ = 0;
  change_log changes_;
  std::uint64_t newest_table_ = 0;  ///< Newest version that was told of.
  std::uint32_t hops_ = 0;
  bool reached_ = true;
  bool watching_ = false;
  base::instant confirmed_ = base::instant::min();
  base::instant returned_ = base::instant::min();  ///< Last return after an outage.
  std::function<void()> on_change_;
};

}  // namespace catkintack::control
