/// @file
/// Reads the platform's store and host list on a thread of its own.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/config/lists.hpp"
#include "catkintack/config/store.hpp"
#include "catkintack/net/host_list.hpp"

namespace catkintack::daemon {

/// @brief Takes what was read; called from the polling thread.
struct platform_hooks {
  std::function<void(net::host_list)> on_hosts;
  std::function<void(config::shared_lists)> on_lists;
};

/// @brief Polls at a steady pace.
class platform_poller {
 public:
  platform_poller(base::address host_list,
                  std::unique_ptr<config::store> store,
                  platform_hooks hooks);
  platform_poller(const platform_poller&) = delete;
  platform_poller& operator=(const platform_poller&) = delete;
  platform_poller(platform_poller&&) = delete;
  platform_poller& operator=(platform_poller&&) = delete;
  ~platform_poller();

 private:
  void poll();
  void read_hosts();
  void read_lists();

  base::address host_list_;
  std::unique_ptr<config::store> store_;
  platform_hooks hooks_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkintack::daemon
