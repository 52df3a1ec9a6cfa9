/// @file
/// Where the other hosts are, by the last reading of the host list.
#pragma once

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "catkintack/membership/gateway_record.hpp"

namespace catkintack::daemon {

/// @brief The gateway hosts of the host list. Safe for use by several threads.
class peer_directory {
 public:
  /// @brief Replaces the hosts.
  /// @param hosts The new reading.
  void update(std::vector<membership::gateway_record> hosts) {
    const std::lock_guard lock(mutex_);
    hosts_ = std::move(hosts);
  }

  /// @brief All hosts.
  /// @return A copy.
  std::vector<membership::gateway_record> hosts() const {
    const std::lock_guard lock(mutex_);
    return hosts_;
  }

  /// @brief Looks up a host.
  /// @param name The host.
  /// @return Its record, or nothing when the list does not show it.
  std::optional<membership::gateway_record> find(const base::host_id& name) const {
    const std::lock_guard lock(mutex_);
    for (const membership::gateway_record& host : hosts_) {
      if (host.host == name) {
        return host;
      }
    }
    return std::nullopt;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<membership::gateway_record> hosts_;
};

}  // namespace catkintack::daemon
