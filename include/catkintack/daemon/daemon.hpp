/// @file
/// A gateway host's daemon, wired together.
#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>

#include "catkintack/base/event_log.hpp"
#include "catkintack/base/metric_registry.hpp"
#include "catkintack/daemon/admin_server.hpp"
#include "catkintack/daemon/call_worker.hpp"
#include "catkintack/daemon/control_loop.hpp"
#include "catkintack/daemon/list_io.hpp"
#include "catkintack/daemon/peer_calls.hpp"
#include "catkintack/daemon/peer_directory.hpp"
#include "catkintack/daemon/peer_dispatch.hpp"
#include "catkintack/daemon/platform_poller.hpp"
#include "catkintack/daemon/settings.hpp"
#include "catkintack/daemon/traffic_server.hpp"
#include "catkintack/net/peer_datagram_socket.hpp"
#include "catkintack/net/peer_server.hpp"

namespace catkintack::daemon {

/// @brief One incarnation of a host.
class daemon {
 public:
  /// @brief Starts all parts.
  /// @param settings The settings.
  /// @param run The incarnation; higher than any before of this host.
  /// @return The running daemon, or a daemon_error.
  static boost::leaf::result<std::unique_ptr<daemon>> start(const settings& settings,
                                                            base::incarnation run);

  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;
  daemon(daemon&&) = delete;
  daemon& operator=(daemon&&) = delete;
  ~daemon();

  /// @brief Stops as planned: announces, finishes all calls, then closes.
  /// @return Calls that were still open when the stop limit was reached.
  std::size_t stop();

 private:
  daemon(const settings& settings, base::incarnation run);
  boost::leaf::result<void> open();
  void open_list_io();
  boost::leaf::result<void> open_peer_server();
  void finish_calls(base::instant limit);
  void hand_over(base::instant limit);

  settings settings_;
  base::incarnation run_;
  base::clock_hook clock_;
  base::event_log events_;
  base::metric_registry metrics_;
  peer_directory directory_;
  std::unique_ptr<peer_calls> peer_calls_;
  std::unique_ptr<call_worker> worker_;
  std::unique_ptr<control_loop> control_;
  std::unique_ptr<net::peer_datagram_socket> datagrams_;
  std::unique_ptr<list_io> list_io_;
  std::unique_ptr<platform_poller> platform_;
  peer_dispatch dispatch_;
  std::unique_ptr<net::peer_server> peer_server_;
  std::unique_ptr<traffic_server> traffic_;
  std::unique_ptr<http_listener> admin_;
};

}  // namespace catkintack::daemon
