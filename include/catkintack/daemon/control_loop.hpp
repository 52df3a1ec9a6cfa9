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
#include "catkintack/config/list_sync.hpp"
#include "catkintack/config/lists.hpp"
#include "catkintack/daemon/call_worker.hpp"
#include "catkintack/daemon/control_status.hpp"
#include "catkintack/membership/peer_tracker.hpp"
#include "catkintack/net/host_list.hpp"
#include "catkintack/net/peer_notice.hpp"

namespace catkintack::daemon {

/// @brief Who the loop speaks for, and how. The calls of the store and of peers report through
/// the loop's on_... functions.
struct control_loop_options {
  base::host_id host;
  base::region_id region;
  base::incarnation run;
  std::function<void(const base::address&, const std::string&)> send_datagram;
  std::function<void(config::list_kind)> read_store;
  std::function<void(const config::watch_store&)> watch_store;
  std::function<void(const base::host_id&, const base::address&, const config::list_stamps&)>
      fetch_lists;
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
  /// @brief Posts that a reading of the host list was the same as the one before.
  void on_hosts_unchanged();
  /// @brief Posts a list read from the store.
  /// @param revision The store's revision.
  /// @param body The list.
  void on_store_value(std::uint64_t revision, config::list_body body);
  /// @brief Posts that a watch of the store ended without a change.
  /// @param kind The list watched.
  void on_store_unchanged(config::list_kind kind);
  /// @brief Posts that the store gave no usable answer.
  /// @param kind The list asked for.
  void on_store_failed(config::list_kind kind);
  /// @brief Posts lists fetched from a peer.
  /// @param bodies The lists.
  void on_fetched(std::vector<config::list_body> bodies);
  /// @brief Posts that a peer did not answer a fetch.
  /// @param from The peer.
  void on_fetch_failed(base::host_id from);
  /// @brief Announces that this host is leaving.
  void leave();

  /// @brief Starts the thread; call when all that the options' hooks use is set up.
  void start();
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
  void send_heartbeat(const std::vector<membership::gateway_record>& targets);
  void tick_lists();
  std::vector<config::list_peer> list_peers() const;
  void apply(const std::vector<config::list_action>& actions);
  void perform(const config::read_store& action);
  void perform(const config::watch_store& action);
  void perform(const config::fetch_lists& action);
  void perform(const config::adopt_list& action);
  void perform(const config::record_event& action);
  void put_in_force();
  void record_peer_changes();
  void broadcast(net::peer_notice_kind kind, std::string body);
  void send(const std::vector<membership::gateway_record>& targets,
            net::peer_notice_kind kind,
            std::string body);
  void receive(const std::string& payload);
  void receive_heartbeat(const std::string& body);
  void receive_demand(const net::peer_notice& notice);
  void publish();

  control_loop_options options_;
  call_worker& worker_;
  base::event_log& events_;
  base::metric_registry& metrics_;
  base::clock_hook clock_;

  membership::peer_tracker peers_;
  config::list_sync list_sync_;
  net::host_list hosts_;
  base::instant hosts_read_at_ = base::instant::min();
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
