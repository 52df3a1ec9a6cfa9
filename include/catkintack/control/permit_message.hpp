/// @file
/// Datagrams between a host and the authorities that permit sends to limited upstreams.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/request_rate.hpp"
#include "catkintack/control/limit_report.hpp"
#include "catkintack/control/trailing_field.hpp"

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
  /// Of a request: the rate that the requesting host keeps to because the upstream is cold. Of a
  /// reply: the rate that the authority kept to for this reason. Older builds neither send nor read
  /// it.
  std::optional<base::request_rate> warm_up_rate{};

  /// @brief Serializes with cereal. The warm-up rate comes last, as older builds ignore it.
  template <class Archive>
  void save(Archive& archive) const {
    archive(kind, upstream, report, asked_at_us, granted, wait_us, warm_up_rate);
  }
  /// @brief Deserializes with cereal; a message of an older build has no warm-up rate.
  template <class Archive>
  void load(Archive& archive) {
    archive(kind, upstream, report, asked_at_us, granted, wait_us);
    if (!load_trailing(archive, warm_up_rate)) {
      warm_up_rate.reset();
    }
  }
};

}  // namespace catkintack::control
