/// @file
/// Datagrams between a host and the authorities that hold the caps of customers.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/control/trailing_field.hpp"

namespace catkintack::control {

/// @brief Purpose of a datagram.
enum class quota_message_kind : std::uint8_t {
  heartbeat,  ///< The host is there, and confirms the lease that it received last.
  request,    ///< Like a heartbeat; also asks for tokens.
  reply,      ///< Answers either.
  leave,      ///< The host stops and will not use its lease.
  /// The sender's authorities; a host that has later ones answers with these. Older
  /// builds refuse this kind.
  authorities
};

/// @brief One datagram. Later builds add fields at the end.
struct quota_message {
  quota_message_kind kind = quota_message_kind::heartbeat;
  base::customer_id customer{};      ///< Of a request and its reply; otherwise empty.
  std::uint32_t wanted = 0;          ///< Of a request: calls that wait for a token.
  std::uint32_t refused_before = 0;  ///< Of a request: calls refused since without asking.
  /// Clock of the host when it sent the heartbeat or request, in microseconds; repeated in the
  /// reply.
  std::int64_t asked_at_us = 0;
  base::incarnation lease_run{};    ///< Of a reply: the lease; otherwise the confirmed lease.
  std::int64_t lease_sent_us = 0;   ///< Clock of the authority, in microseconds.
  double lease_share = 0;           ///< Fraction of the authority's shares, 0 to 1.
  std::uint32_t host_count = 0;     ///< Hosts counted by the authority; of `authorities`: recorded.
  bool unknown_customer = false;    ///< Of a reply.
  std::uint32_t granted = 0;        ///< Of a reply: tokens.
  std::int64_t wait_us = 0;         ///< Of a reply: time until the next token.
  std::int64_t retry_after_us = 0;  ///< Of a reply: time until the first refused caller's turn.
  double tokens_left = 0;           ///< Of a reply.
  /// Epoch of the sender's authorities; 0: none, or an older build.
  std::uint64_t epoch = 0;
  std::vector<base::address> holders{};  ///< Of `authorities`: the holder of each slot.

  /// @brief Serializes with cereal.
  template <class Archive>
  void save(Archive& archive) const {
    archive(kind, customer, wanted, refused_before, asked_at_us, lease_run, lease_sent_us,
            lease_share, host_count, unknown_customer, granted, wait_us, retry_after_us,
            tokens_left, epoch);
    if (kind == quota_message_kind::authorities) {
      archive(holders);
    }
  }
  /// @brief Deserializes with cereal.
  template <class Archive>
  void load(Archive& archive) {
    archive(kind, customer, wanted, refused_before, asked_at_us, lease_run, lease_sent_us,
            lease_share, host_count, unknown_customer, granted, wait_us, retry_after_us,
            tokens_left);
    if (!load_trailing(archive, epoch)) {
      epoch = 0;
    }
    if (kind == quota_message_kind::authorities) {
      archive(holders);
    }
  }
};

}  // namespace catkintack::control
