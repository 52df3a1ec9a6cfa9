/// @file
/// All that a host must know to serve, as it is passed to another host.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "catkintack/directory/endpoint.hpp"
#include "catkintack/routes/route_table.hpp"

namespace catkintack::control {

/// @brief A host's knowledge with its version.
struct knowledge_snapshot {
  std::uint64_t revision = 0;  ///< The registry's revision that it reflects.
  std::optional<routes::route_table> table;
  std::vector<directory::endpoint> upstreams;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, table, upstreams);
  }
};

/// @brief What a host asks another for.
struct knowledge_query {
  std::uint64_t known_revision = 0;  ///< Nothing older or equal is wanted.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known_revision);
  }
};

}  // namespace catkintack::control
