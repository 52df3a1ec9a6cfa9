/// @file
/// The changes between two revisions of the registry.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/crash_record.hpp"
#include "catkintack/control/registry_revision.hpp"
#include "catkintack/directory/endpoint.hpp"
#include "catkintack/routes/route_table.hpp"
#include "catkintack/routes/route_table_delta.hpp"

namespace catkintack::control {

/// @brief The changes after one revision up to another, with the latest state of each entry.
struct change_batch {
  registry_revision base_revision{};  ///< Applies to a replica at this revision or a later one.
  registry_revision revision{};       ///< The revision of the replica afterwards.
  std::optional<routes::route_table> table{};
  /// Takes the place of `table` where the change is small.
  std::optional<routes::route_table_delta> table_delta{};
  /// Version of a table that is too large to send and must be read from the registry. 0: none.
  std::uint64_t announced_table_version = 0;
  std::vector<directory::endpoint> changed{};
  std::vector<base::upstream_id> removed{};
  std::vector<choice::crash_record> crashes{};                ///< Changed entries.
  std::vector<base::request_fingerprint> cleared_requests{};  ///< Their entries were removed.

  std::vector<base::failure_domain_id> evacuations_begun{};
  std::vector<base::failure_domain_id> evacuations_ended{};

  /// @brief Whether the batch holds no change.
  bool empty() const {
    return evacuations_begun.empty() && evacuations_ended.empty() && !table && !table_delta &&
           announced_table_version == 0 && changed.empty() && removed.empty() && crashes.empty() &&
           cleared_requests.empty();
  }

  /// @brief Serializes with cereal; the evacuations are part of the batch_extension.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(base_revision, revision, table, table_delta, announced_table_version, changed, removed,
            crashes, cleared_requests);
  }
};

}  // namespace catkintack::control
