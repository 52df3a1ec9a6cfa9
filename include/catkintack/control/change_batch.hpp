/// @file
/// A step from one revision of the registry to a later one.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/directory/endpoint.hpp"
#include "catkintack/routes/route_table.hpp"

namespace catkintack::control {

/// @brief All that changed after one revision, up to another; the last state of each thing.
struct change_batch {
  std::uint64_t after = 0;     ///< Knowledge of this revision or a later one can take it.
  std::uint64_t revision = 0;  ///< What that knowledge then reflects.
  std::optional<routes::route_table> table{};
  /// Version of a table that is too large to be told; it is to be read from the registry. 0: none.
  std::uint64_t newer_table = 0;
  std::vector<directory::endpoint> changed{};
  std::vector<base::upstream_id> removed{};

  /// @brief Whether nothing of interest changed.
  bool empty() const { return !table && newer_table == 0 && changed.empty() && removed.empty(); }

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(after, revision, table, newer_table, changed, removed);
  }
};

}  // namespace catkintack::control
