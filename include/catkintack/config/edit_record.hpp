/// @file
/// One edit of a list, as the list's history keeps it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::config {

/// @brief A change of one entry. Texts are JSON; an empty text stands for no entry.
struct entry_change {
  std::string entry;  ///< For example "mercato" or "gold/scan-service".
  std::string before;
  std::string after;

  bool operator==(const entry_change&) const = default;
};

/// @brief An edit: who changed what, and when.
struct edit_record {
  base::list_version version;  ///< The version that the edit made.
  base::edit_id edit;
  std::string author;     ///< The operator's name.
  std::int64_t time = 0;  ///< Seconds since 1970, by the operator's clock.
  std::string summary;    ///< For example "set gold/scan-service".
  std::vector<entry_change> changes;

  bool operator==(const edit_record&) const = default;
};

}  // namespace catkintack::config
