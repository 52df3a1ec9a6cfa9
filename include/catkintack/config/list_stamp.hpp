/// @file
/// What identifies one version of a list.
#pragma once

#include <array>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_kind.hpp"

namespace catkintack::config {

/// @brief A version and the edit that made it. Two contents with one version differ in the edit.
struct list_stamp {
  base::list_version version;
  base::edit_id edit;

  bool operator==(const list_stamp&) const = default;

  /// @brief Serializes the stamp with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, edit);
  }
};

/// The stamps of both lists, by index_of().
using list_stamps = std::array<list_stamp, list_count>;

}  // namespace catkintack::config
