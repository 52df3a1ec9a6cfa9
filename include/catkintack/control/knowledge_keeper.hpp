/// @file
/// Puts what is learnt from the registry or from peers into force.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

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

  /// @brief Puts a route table into force if its version is higher than the one in force.
  void adopt(routes::route_table table, std::string_view source);
  /// @brief Adds or changes an upstream.
  void put(const directory::endpoint& upstream, std::string_view source);
  /// @brief Takes an upstream's entry away.
  void remove(const base::upstream_id& id, std::string_view source);
  /// @brief Takes a full listing of upstreams.
  void replace_all(const std::vector<directory::endpoint>& listed, std::string_view source);
  /// @brief Takes another host's knowledge if it is newer.
  void adopt(knowledge_snapshot snapshot, std::string_view source);

  /// @brief The registry cannot be reached.
  void on_registry_lost(std::string_view why);
  /// @brief The registry answers again.
  void on_registry_reached();
  /// @brief Whether the registry answered last.
  bool registry_reached() const { return reached_; }

  /// @brief The registry's revision that is reflected here.
  std::uint64_t revision() const { return revision_; }
  /// @brief Notes that all changes up to a revision were applied.
  void advance(std::uint64_t revision);

  /// @brief What is known, for another host.
  knowledge_snapshot snapshot() const;

 private:
  base::instant keep_missing_until() const;

  serving::traffic_state& state_;
  keeper_options options_;
  std::uint64_t revision_ = 0;
  bool reached_ = true;
  base::instant returned_ = base::instant::min();  ///< Last return after an outage.
};

}  // namespace catkintack::control
