/// @file
/// The message that hosts send each other at a steady pace.
#pragma once

#include <cereal/types/array.hpp>
#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_stamp.hpp"

namespace catkintack::membership {

/// @brief A host's word that it lives, and the versions it has in force.
struct heartbeat {
  base::host_id host;
  base::incarnation run;
  std::uint64_t sequence = 0;  ///< Rises within an incarnation.
  bool leaving = false;
  config::list_stamps in_force;  ///< The lists in force on the host.

  /// @brief Serializes the message with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, run, sequence, leaving, in_force);
  }
};

}  // namespace catkintack::membership
