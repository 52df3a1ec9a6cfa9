/// @file
/// Periodic message that hosts send to each other.
#pragma once

#include <cereal/types/array.hpp>
#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_stamp.hpp"

namespace catkintack::membership {

/// @brief Announces that a host is alive and which list versions it uses.
struct heartbeat {
  base::host_id host;
  base::incarnation run;
  std::uint64_t sequence = 0;  ///< Increases within an incarnation.
  bool leaving = false;
  config::list_stamps in_force;  ///< Versions of the lists that the host uses.

  /// @brief Serializes the message with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, run, sequence, leaving, in_force);
  }
};

}  // namespace catkintack::membership
