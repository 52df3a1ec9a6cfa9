/// @file
/// The authorities for the caps of customers, as the registry holds them.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "catkintack/control/change_outcome.hpp"
#include "catkintack/limits/quota_authorities.hpp"

namespace catkintack::control {

/// @brief Entry of the registry.
struct quota_record {
  limits::quota_authorities authorities{};  ///< Epoch 0: none, or the entry cannot be read.
  /// Hosts among which the authorities divide the shares. A host that takes a slot over reserves
  /// the shares of those from which it has received no message.
  std::uint32_t host_count = 0;
  std::uint64_t revision = 0;  ///< Of the entry; 0: there is none.
};

/// @brief Outcome of a call, and the entry afterwards.
struct quota_record_result {
  change_outcome outcome = change_outcome::unreachable;
  quota_record record{};
  std::string detail{};  ///< Why the registry was unreachable, for the log.
};

/// @brief Access to the entry.
struct quota_registry_hooks {
  /// Reads the entry; never a stale one.
  std::function<boost::asio::awaitable<quota_record_result>()> read;
  /// Replaces the entry if it still has the revision of the record.
  std::function<boost::asio::awaitable<quota_record_result>(quota_record)> write;
};

}  // namespace catkintack::control
