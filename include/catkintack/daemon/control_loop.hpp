/// @file
/// The thread that owns the control state: peers, hosts and lists in force.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "catkintack/base/event_log.hpp"
#include "catkintack/base/metric_registry.hpp"
#include "catkintack/config/lists.hpp"
#include "catkintack/daemon/call_worker.hpp"
#include "catkintack/daemon/control_status.hpp"
#include "catkintack/membership/peer_table.hpp"
#include "catkintack/net/host_list.hpp"
#include "catkintack/net/peer_notice.hpp"

namespace catkintack::daemon {

/// @brief Who the loop speaks for, and how.
struct control_loop_options {
  base::host_id host;
  base::incarnation run;
  std::function<void(const base::address&, const std::string&)> send_datagram;
};

/// @brief Owns the control state. Other threads post to it and read its published status.
class control_loop {
 public:
  control_loop(control_loop_options options,
               call_worker& worker,
               base::event_log& events,
               base::metric_registry& metrics,
               base::clock_hook clock);
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;
  control_loop(control_loop&&) = delete;
  control_loop& operator=(control_loop&&) = delete;
  ~control_loop();

  /// @brief Posts a peer's datagram.
  /// @param payload The opened payload.
  void on_datagram(std::string payload);
  /// @brief Posts a reading of the host list.
  /// @param hosts The reading.
  void on_hosts(net::host_list hosts);
  /// @brief Posts a reading of the lists.
  /// @param lists The reading.
  void on_lists(config::shared_lists lists);
  /// @brief Announces that this host is leaving.
  void leave();

  /// @brief Ends the thread; what is posted later is not done.
  void stop();

  /// @brief The status last published.
  /// @return A copy.
  control_status status() const;

 private:
  using task = std::function<void()>;

  void post(task work);
  void run();
  void heartbeat();
  void broadcast(net::peer_notice_kind kind, std::string body);
  void receive(const std::string& payload);
  void receive_heartbeat(const std::string& body);
  void receive_demand(const net::peer_notice& notice);
  void adopt(const config::shared_lists& lists);
  void publish();

  control_loop_options options_;
  call_worker& worker_;
  base::event_log& events_;
  base::metric_registry& metrics_;
  base::clock_hook clock_;

  membership::peer_table peers_;
  net::host_list hosts_;
  config::shared_lists lists_;
  std::uint64_t heartbeat_sequence_ = 0;
  bool leaving_ = false;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<task> tasks_;
  control_status status_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkintack::daemon
