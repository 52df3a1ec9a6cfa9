/// @file
/// The full routing state, as one host sends it to another.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catkintack/choice/crash_record.hpp"
#include "catkintack/control/registry_revision.hpp"
#include "catkintack/directory/endpoint.hpp"
#include "catkintack/routes/route_table.hpp"

namespace catkintack::control {

/// @brief Routes, upstreams and crash records at one revision.
struct registry_snapshot {
  registry_revision revision{};  ///< The registry revision of the snapshot.
  std::optional<routes::route_table> table{};
  /// Version of a table that is too large to send and must be read from the registry. 0: none.
  std::uint64_t announced_table_version = 0;
  std::vector<directory::endpoint> upstreams{};
  std::vector<choice::crash_record> crashes{};
  std::set<base::failure_domain_id> evacuations{};

  /// @brief Serializes with cereal; the evacuations are part of the snapshot_extension.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, table, announced_table_version, upstreams, crashes);
  }
};

}  // namespace catkintack::control
