/// @file
/// Datagrams between a host and the authorities that permit sends to limited upstreams.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/control/limit_report.hpp"

namespace catkintack::control {

/// @brief Purpose of a datagram.
enum class permit_message_kind : std::uint8_t {
  request,  ///< Asks an authority for one send.
  reply,    ///< Grants or refuses it.
  report    ///< Tells an authority about a limit, without asking for a send.
};

/// @brief One datagram.
struct permit_message {
  permit_message_kind kind = permit_message_kind::report;
  base::upstream_id upstream;
  std::optional<limit_report> report{};  ///< What the sender knows about the upstream's limit.
  /// Clock of the requesting host at the request, in microseconds; repeated in the reply.
  std::int64_t asked_at_us = 0;
  bool granted = false;      ///< Of a reply.
  std::int64_t wait_us = 0;  ///< Of a reply: time until the send, or until the next request.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, upstream, report, asked_at_us, granted, wait_us);
  }
};

}  // namespace catkintack::control
