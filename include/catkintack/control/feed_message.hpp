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
#include "catkintack/control/trailing_field.hpp"
#include "catkintack/routes/table_extension.hpp"

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

/// Version of the messages between hosts. Builds without customers, regions of residence and
/// evacuations send none, which counts as 0.
inline constexpr std::uint32_t feed_protocol_version = 1;

/// @brief What older builds do not know of a batch of changes.
struct batch_extension {
  routes::table_extension table{};  ///< Of the table or of the difference between tables.
  std::vector<base::failure_domain_id> evacuations_begun{};
  std::vector<base::failure_domain_id> evacuations_ended{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(table, evacuations_begun, evacuations_ended);
  }
};

/// @brief What older builds do not know of a snapshot.
struct snapshot_extension {
  routes::table_extension table{};
  std::vector<base::failure_domain_id> evacuations{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(table, evacuations);
  }
};

/// @brief The extensions of one message.
struct feed_extensions {
  std::vector<batch_extension> batches{};  ///< In the order of the batches.
  std::optional<snapshot_extension> snapshot{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(batches, snapshot);
  }
};

/// @brief Restrictions of the routes in the extensions of one message.
struct feed_restrictions {
  using list = std::vector<routes::route_restriction>;
  std::vector<list> batches{};  ///< In the order of the batches.
  list snapshot{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(batches, snapshot);
  }
};

struct feed_changes;
/// @brief Extracts the extensions of a message.
feed_extensions make_extensions(const feed_changes& changes);
/// @brief Completes a message that was decoded without its extensions.
void apply_extensions(feed_changes& changes, const feed_extensions& extensions);
/// @brief Extracts the restrictions from the extensions.
feed_restrictions make_restrictions(const feed_extensions& extensions);
/// @brief Puts restrictions that were transferred separately into the extensions.
void put_restrictions(feed_extensions& extensions, feed_restrictions restrictions);

/// @brief Changes to the state of a subscriber.
struct feed_changes {
  std::vector<change_batch> batches{};  ///< Changes since the previous message.
  /// Replaces the batches for a host that is too far behind.
  std::optional<registry_snapshot> snapshot{};

  /// @brief Serializes with cereal. The later a part was added, the further back it stands, as
  /// older builds ignore what follows the parts that they decode.
  template <class Archive>
  void save(Archive& archive) const {
    const feed_extensions extensions = make_extensions(*this);
    archive(batches, snapshot, extensions, make_restrictions(extensions));
  }
  /// @brief Deserializes with cereal; a message of an older build has no extensions.
  template <class Archive>
  void load(Archive& archive) {
    archive(batches, snapshot);
    feed_extensions extensions;
    if (load_trailing(archive, extensions)) {
      feed_restrictions restrictions;
      if (load_trailing(archive, restrictions)) {
        put_restrictions(extensions, std::move(restrictions));
      }
      apply_extensions(*this, extensions);
    }
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

  /// Version of the publisher's build.
  std::uint32_t protocol_version = feed_protocol_version;

  /// @brief Serializes with cereal. The version comes last, as older builds ignore it.
  template <class Archive>
  void save(Archive& archive) const {
    archive(hops, age_us, changes, limits, alternatives, protocol_version);
  }
  /// @brief Deserializes with cereal.
  template <class Archive>
  void load(Archive& archive) {
    archive(hops, age_us, changes, limits, alternatives);
    if (!load_trailing(archive, protocol_version)) {
      protocol_version = 0;
    }
  }
};

}  // namespace catkintack::control
