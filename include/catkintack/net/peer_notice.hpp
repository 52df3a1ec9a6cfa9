/// @file
/// One-way messages between hosts over UDP.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::net {

/// @brief Kinds of datagrams. The numbers are part of the protocol.
enum class peer_notice_kind : std::uint8_t {
  heartbeat = 1,  ///< The body is a membership::heartbeat.
  demand = 2,     ///< The sender's demand for customers' allowances.
};

/// @brief Datagram to another host.
struct peer_notice {
  peer_notice_kind kind = peer_notice_kind::heartbeat;
  base::host_id sender;
  base::incarnation run;
  std::uint64_t time = 0;  ///< Hybrid logical clock of the sender.
  std::string body;        ///< Encoded message of the kind.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, sender, run, time, body);
  }
};

}  // namespace catkintack::net
