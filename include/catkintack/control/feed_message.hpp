/// @file
/// What a host that publishes changes and its subscribers send each other.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/control/change_batch.hpp"
#include "catkintack/control/knowledge_snapshot.hpp"

namespace catkintack::control {

/// @brief Asks to be told of changes. The one message of a subscriber.
struct feed_subscription {
  std::uint64_t known_revision = 0;  ///< Nothing older or equal is wanted.
  base::address from{};              ///< Where the host itself tells others.
  base::region_id region{};          ///< Of the host.
  bool watches = false;              ///< It watches the registry too.
  bool wants_large = false;          ///< Large tables too: the registry is out of its reach.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known_revision, from, region, watches, wants_large);
  }
};

/// @brief Sent on each change, and often enough to show that the publisher lives.
struct feed_message {
  std::uint32_t hops = 0;   ///< Hosts between the publisher and one that watches the registry.
  std::int64_t age_us = 0;  ///< Since the registry confirmed it, microseconds.
  std::vector<change_batch> batches{};             ///< Steps from what was sent before.
  std::optional<knowledge_snapshot> everything{};  ///< In place of steps, for a host far behind.
  std::vector<base::address> ask_instead{};        ///< The publisher has no room; these may have.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(hops, age_us, batches, everything, ask_instead);
  }
};

}  // namespace catkintack::control
