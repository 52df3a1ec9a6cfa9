/// @file
/// A position in the history of the registry.
#pragma once

#include <compare>
#include <cstdint>

#include "catkintack/base/ids.hpp"

namespace catkintack::control {

/// @brief A revision of the registry, ordered by era first.
///
/// The era rises when the registry is restored from an older copy. Its revision numbers then go
/// back and are given out again, so numbers of different eras must not be compared.
struct registry_revision {
  base::registry_era era{};
  std::uint64_t number = 0;

  auto operator<=>(const registry_revision&) const = default;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(era, number);
  }
};

}  // namespace catkintack::control
