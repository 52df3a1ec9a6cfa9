/// @file
/// Assembles the components of a gateway host.
#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>

#include "catkintack/base/event_log.hpp"
#include "catkintack/base/metric_registry.hpp"
#include "catkintack/daemon/admin_server.hpp"
#include "catkintack/daemon/call_worker.hpp"
#include "catkintack/daemon/control_loop.hpp"
#include "catkintack/daemon/host_list_poller.hpp"
#include "catkintack/daemon/list_io.hpp"
#include "catkintack/daemon/peer_calls.hpp"
#include "catkintack/daemon/peer_directory.hpp"
#include "catkintack/daemon/peer_dispatcher.hpp"
#include "catkintack/daemon/settings.hpp"
#include "catkintack/daemon/traffic_server.hpp"
#include "catkintack/net/peer_datagram_socket.hpp"
#include "catkintack/net/peer_server.hpp"

namespace catkintack::daemon {

/// @brief The running components of one incarnation of a host.
class daemon {
 public:
  /// @brief Starts all components.
  /// @param run The incarnation; must be greater than all previous ones of this host.
  /// @return The running daemon, or a daemon_error when an address cannot be bound.
  static boost::leaf::result<std::unique_ptr<daemon>> start(const settings& settings,
                                                            base::incarnation run);

  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;
  daemon(daemon&&) = delete;
  daemon& operator=(daemon&&) = delete;
  ~daemon();

  /// @brief Shuts down gracefully: announces that the host is leaving, waits for open calls, hands
  /// the finished request ids over to a peer, then closes the listeners.
  /// @return Number of calls that were still open when the stop limit was reached.
  std::size_t stop();

 private:
  daemon(const settings& settings, base::incarnation run);
  boost::leaf::result<void> open();
  void open_list_io();
  boost::leaf::result<void> open_peer_server();
  void wait_for_open_calls(base::instant deadline);
  void hand_over(base::instant deadline);

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
  std::unique_ptr<host_list_poller> host_list_poller_;
  peer_dispatcher dispatcher_;
  std::unique_ptr<net::peer_server> peer_server_;
  std::unique_ptr<traffic_server> traffic_;
  std::unique_ptr<http_listener> admin_;
};

}  // namespace catkintack::daemon
