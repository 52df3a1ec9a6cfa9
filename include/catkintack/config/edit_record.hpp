/// @file
/// One edit of a list as recorded in the list's history.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::config {

/// @brief Change of one entry. Before and after are the entry's JSON, or empty when there is no
/// entry.
struct entry_change {
  std::string entry;  ///< Name of the entry, for example "mercato" or "gold/scan-service".
  std::string before;
  std::string after;

  bool operator==(const entry_change&) const = default;
};

/// @brief An edit with its author and time.
struct edit_record {
  base::list_version version;  ///< The version that the edit created.
  base::edit_id edit;
  std::string author;     ///< The operator's name.
  std::int64_t time = 0;  ///< Unix time in seconds, from the operator's clock.
  std::string summary;    ///< For example "set gold/scan-service".
  std::vector<entry_change> changes;

  bool operator==(const edit_record&) const = default;
};

}  // namespace catkintack::config
