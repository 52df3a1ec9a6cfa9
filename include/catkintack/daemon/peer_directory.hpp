/// @file
/// Addresses of the gateway hosts according to the last host list that was read.
#pragma once

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "catkintack/membership/gateway_record.hpp"

namespace catkintack::daemon {

/// @brief The gateway hosts on the host list. Thread-safe.
class peer_directory {
 public:
  /// @brief Replaces all hosts.
  void update(std::vector<membership::gateway_record> hosts) {
    const std::lock_guard lock(mutex_);
    hosts_ = std::move(hosts);
  }

  /// @brief Returns a copy of all hosts.
  std::vector<membership::gateway_record> hosts() const {
    const std::lock_guard lock(mutex_);
    return hosts_;
  }

  /// @brief Looks up a host.
  /// @return Its record, or no value when it is not on the list.
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
