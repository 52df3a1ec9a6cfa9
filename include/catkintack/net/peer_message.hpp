/// @file
/// Envelope of the requests that hosts send each other over TCP.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::net {

/// @brief What a peer asks for. The numbers are part of the protocol.
enum class peer_request_kind : std::uint8_t {
  fetch_lists = 1,   ///< The bodies of the lists in force.
  forward_call = 2,  ///< Run a caller's request whose id belongs to the asked host.
  hand_over = 3,     ///< Take over the finished ids of a leaving host.
};

/// @brief A request between hosts.
struct peer_request {
  base::host_id sender;
  base::incarnation run;
  peer_request_kind kind = peer_request_kind::fetch_lists;
  std::uint64_t time = 0;  ///< Hybrid clock of the sender.
  std::string body;        ///< Encoded message that belongs to the kind.

  /// @brief Serializes the request with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, run, kind, time, body);
  }
};

/// @brief The response to a peer_request.
struct peer_response {
  bool accepted = false;   ///< False when the peer has no answer; then body is its reason.
  std::uint64_t time = 0;  ///< Hybrid clock of the responder.
  std::string body;

  /// @brief Serializes the response with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, time, body);
  }
};

}  // namespace catkintack::net
