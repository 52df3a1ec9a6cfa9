/// @file
/// Identifies one version of a list.
#pragma once

#include <array>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_kind.hpp"

namespace catkintack::config {

/// @brief A version and the edit that created it. Different contents with the same version number
/// have different edit ids.
struct list_stamp {
  base::list_version version;
  base::edit_id edit;

  bool operator==(const list_stamp&) const = default;

  /// @brief Serializes the stamp with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, edit);
  }
};

/// The stamps of both lists, indexed by index_of().
using list_stamps = std::array<list_stamp, list_count>;

}  // namespace catkintack::config
