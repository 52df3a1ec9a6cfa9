/// @file
/// Requests and responses between hosts over TCP.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::net {

/// @brief Kinds of requests. The numbers are part of the protocol.
enum class peer_request_kind : std::uint8_t {
  fetch_lists = 1,   ///< Return the texts of the lists in force.
  forward_call = 2,  ///< Run a caller's request whose id belongs to the receiver.
  hand_over = 3,     ///< Take over the finished requests of a leaving host.
};

/// @brief Request to another host.
struct peer_request {
  base::host_id sender;
  base::incarnation run;
  peer_request_kind kind = peer_request_kind::fetch_lists;
  std::uint64_t time = 0;  ///< Hybrid logical clock of the sender.
  std::string body;        ///< Encoded message of the kind.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, run, kind, time, body);
  }
};

/// @brief Response to a peer_request.
struct peer_response {
  bool accepted = false;   ///< When false, body holds the reason.
  std::uint64_t time = 0;  ///< Hybrid logical clock of the responder.
  std::string body;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, time, body);
  }
};

}  // namespace catkintack::net
