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
  std::optional<routes::route_table> table{};
  /// Version of a table that is too large to be told; it is to be read from the registry. 0: none.
  std::uint64_t newer_table = 0;
  std::vector<directory::endpoint> upstreams{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, table, newer_table, upstreams);
  }
};

}  // namespace catkintack::control
