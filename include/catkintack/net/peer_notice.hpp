/// @file
/// Envelope of the datagrams that hosts send each other.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::net {

/// @brief What a datagram carries. The numbers are part of the protocol.
enum class peer_notice_kind : std::uint8_t {
  heartbeat = 1,  ///< A membership::heartbeat.
  demand = 2,     ///< The sender's demand of customers' allowances.
};

/// @brief A datagram between hosts.
struct peer_notice {
  peer_notice_kind kind = peer_notice_kind::heartbeat;
  base::host_id sender;
  base::incarnation run;
  std::uint64_t time = 0;  ///< Hybrid clock of the sender.
  std::string body;        ///< Encoded message that belongs to the kind.

  /// @brief Serializes the notice with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, sender, run, time, body);
  }
};

}  // namespace catkintack::net
