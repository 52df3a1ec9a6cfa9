/// @file
/// Reads the platform's host list on a thread of its own.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/net/host_list.hpp"

namespace catkintack::daemon {

/// @brief Takes what was read when it differs from the reading before; called from the polling
/// thread.
struct platform_hooks {
  std::function<void(net::host_list)> on_hosts;
  std::function<void()> on_hosts_unchanged;  ///< The reading was the same as the one before.
};

/// @brief Polls at a steady pace.
class platform_poller {
 public:
  platform_poller(base::address host_list, platform_hooks hooks);
  platform_poller(const platform_poller&) = delete;
  platform_poller& operator=(const platform_poller&) = delete;
  platform_poller(platform_poller&&) = delete;
  platform_poller& operator=(platform_poller&&) = delete;
  ~platform_poller();

 private:
  void poll();
  void read_hosts();

  base::address host_list_;
  platform_hooks hooks_;
  std::string last_text_;  ///< Of the last valid reading.
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkintack::daemon
