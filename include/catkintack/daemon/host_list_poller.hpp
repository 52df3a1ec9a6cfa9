/// @file
/// Polls the platform's host list on its own thread.
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

/// @brief Receives the results of polling; called on the polling thread.
struct host_list_hooks {
  std::function<void(net::host_list)> on_host_list;  ///< The host list has changed.
  std::function<void()>
      on_host_list_unchanged;  ///< The host list was read and is the same as before.
};

/// @brief Polls the host list at a fixed interval.
class host_list_poller {
 public:
  host_list_poller(base::address host_list, host_list_hooks hooks);
  host_list_poller(const host_list_poller&) = delete;
  host_list_poller& operator=(const host_list_poller&) = delete;
  host_list_poller(host_list_poller&&) = delete;
  host_list_poller& operator=(host_list_poller&&) = delete;
  ~host_list_poller();

 private:
  void poll();
  void read_host_list();

  base::address host_list_;
  host_list_hooks hooks_;
  std::string last_text_;  ///< Text of the last valid host list.
  std::mutex mutex_;
  std::condition_variable stop_signal_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkintack::daemon
