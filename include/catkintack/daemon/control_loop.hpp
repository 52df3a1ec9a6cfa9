/// @file
/// Thread that owns the control state: peers, the host list and the configuration lists in force.
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

/// @brief Identity of this host and the functions that perform I/O for the loop. Store calls and
/// peer calls report their results through the loop's on_... functions.
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

/// @brief Owns the control state. Other threads post events to it and read its published status.
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

  /// @brief Posts a datagram of a peer.
  /// @param payload The authenticated payload.
  void on_datagram(std::string payload);
  /// @brief Posts a changed host list.
  void on_host_list(net::host_list hosts);
  /// @brief Posts that the host list was read and has not changed.
  void on_host_list_unchanged();
  /// @brief Posts a list that was read from the store.
  /// @param revision The store revision at which it was read.
  void on_store_value(std::uint64_t revision, config::list_body body);
  /// @brief Posts that a store watch ended without a change.
  void on_store_unchanged(config::list_kind kind);
  /// @brief Posts that a store call failed or returned an invalid list.
  void on_store_failed(config::list_kind kind);
  /// @brief Posts lists that were fetched from a peer.
  void on_fetched(std::vector<config::list_body> bodies);
  /// @brief Posts that a fetch of lists from a peer failed.
  void on_fetch_failed(base::host_id from);
  /// @brief Announces to all peers that this host is leaving.
  void leave();

  /// @brief Starts the thread. Everything that the functions in the options use must exist by then.
  void start();
  /// @brief Ends the thread; events that are posted later are ignored.
  void stop();

  /// @brief Returns a copy of the last published status.
  control_status status() const;

 private:
  using task = std::function<void()>;

  void post(task work);
  void run();
  void run_heartbeat();
  void send_heartbeat(const std::vector<membership::gateway_record>& targets);
  void tick_peers_and_lists();
  std::vector<config::list_peer> list_peers() const;
  void apply(const std::vector<config::list_action>& actions);
  void perform(const config::read_store& action);
  void perform(const config::watch_store& action);
  void perform(const config::fetch_lists& action);
  void perform(const config::adopt_list& action);
  void perform(const config::record_event& action);
  void submit_lists();
  void record_peer_changes();
  void broadcast(net::peer_notice_kind kind, std::string body);
  void send(const std::vector<membership::gateway_record>& targets,
            net::peer_notice_kind kind,
            std::string body);
  void receive_datagram(const std::string& payload);
  void receive_heartbeat(const std::string& body);
  void receive_demand(const net::peer_notice& notice);
  void publish_status();

  control_loop_options options_;
  call_worker& worker_;
  base::event_log& events_;
  base::metric_registry& metrics_;
  base::clock_hook clock_;

  membership::peer_tracker peers_;
  config::list_sync list_sync_;
  net::host_list host_list_;
  base::instant host_list_read_at_ = base::instant::min();
  config::shared_lists lists_;
  std::uint64_t heartbeat_sequence_ = 0;
  bool leaving_ = false;

  mutable std::mutex mutex_;
  std::condition_variable tasks_changed_;
  std::deque<task> tasks_;
  control_status status_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkintack::daemon
