/// @file
/// Messages between a publisher of registry changes and its subscribers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/control/change_batch.hpp"
#include "catkintack/control/limit_report.hpp"
#include "catkintack/control/registry_revision.hpp"
#include "catkintack/control/registry_snapshot.hpp"

namespace catkintack::control {

/// @brief Subscribes to changes. A subscriber sends no other message.
struct feed_subscription {
  registry_revision known_revision{};        ///< Only later changes are requested.
  base::address feed_address{};              ///< Address of the subscriber's own feed server.
  base::region_id region{};                  ///< Region of the subscriber.
  base::failure_domain_id failure_domain{};  ///< Failure domain of the subscriber.
  bool watches_registry = false;             ///< The subscriber watches the registry itself.
  /// Send large tables too, as the subscriber cannot reach the registry.
  bool wants_large_tables = false;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known_revision, feed_address, region, failure_domain, watches_registry,
            wants_large_tables);
  }
};

/// @brief Changes to the state of a subscriber.
struct feed_changes {
  std::vector<change_batch> batches{};  ///< Changes since the previous message.
  /// Replaces the batches for a host that is too far behind.
  std::optional<registry_snapshot> snapshot{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(batches, snapshot);
  }
};

/// @brief Sent on each change, and periodically as a heartbeat.
struct feed_message {
  std::uint32_t hops = 0;   ///< Hosts between the publisher and a seed that watches the registry.
  std::int64_t age_us = 0;  ///< Time since the registry confirmed the state, in microseconds.
  /// Serialized and compressed feed_changes, the same bytes for all subscribers that need the same
  /// changes. Empty if there are none.
  std::string changes{};
  /// Limits of upstreams that began, ended or changed since the previous message.
  std::vector<limit_report> limits{};
  /// Set if the publisher has no capacity; other hosts to try.
  std::vector<base::address> alternatives{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(hops, age_us, changes, limits, alternatives);
  }
};

}  // namespace catkintack::control
