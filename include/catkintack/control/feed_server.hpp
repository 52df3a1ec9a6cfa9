/// @file
/// Publishes registry changes to other hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <vector>

#include "catkintack/control/feed_message.hpp"
#include "catkintack/control/registry_replica.hpp"
#include "catkintack/serving/io.hpp"
#include "catkintack/serving/listener.hpp"

namespace catkintack::control {

/// @brief Limits of a feed server.
struct feed_server_options {
  /// Concurrent subscribers; further hosts are referred to these. Each further tier of relays adds
  /// to the age of the state.
  std::size_t max_subscribers = 64;
  /// Subscribers in each other region, not counting those that watch the registry themselves. They
  /// relay to the rest of their region, as traffic between regions is charged by volume.
  std::size_t subscribers_per_other_region = 1;
  /// Interval between messages when nothing changes.
  base::duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Larger tables are only announced, and subscribers read them from the registry: sending one to
  /// every subscriber would overload the link of a small host.
  std::size_t max_inline_routes = 200;
  /// A subscriber that stops reading is dropped.
  base::duration send_timeout = std::chrono::seconds(3);
};

/// @brief Accepts subscriptions and publishes changes. Not thread-safe.
class feed_server {
 public:
  /// @param io Must outlive the server.
  /// @param state Provides the log, metrics, clock and random source.
  /// @param replica The state to publish.
  feed_server(boost::asio::io_context& io,
              serving::traffic_state& state,
              const registry_replica& replica,
              feed_server_options options = {});

  /// @brief Starts listening.
  /// @return The error if the address cannot be used.
  boost::system::error_code listen(const base::address& where);
  /// @brief Sends the latest changes to all subscribers at once.
  void notify_subscribers();
  /// @brief Relays a confirmation by another host to the subscribers that were not sent a message
  /// within the last half heartbeat interval.
  void relay();
  /// @brief Hosts that are currently subscribed.
  std::size_t subscriber_count() const { return subscribers_.size(); }

 private:
  struct subscriber {
    explicit subscriber(boost::asio::io_context& io) : timer(io) {}
    base::address feed_address;
    base::region_id region;
    bool watches_registry = false;
    boost::asio::steady_timer timer;
    registry_revision sent_revision;  ///< Revision of the last message sent.
    base::instant sent_at = base::instant::min();
    bool wants_large_tables = false;
    bool pending_change = false;  ///< A change arrived while a message was being sent.
    bool gone = false;            ///< The subscriber closed its connection.
  };

  boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream);
  boost::asio::awaitable<void> publish(boost::beast::tcp_stream& stream, subscriber& host);
  static void watch_for_close(boost::beast::tcp_stream& stream,
                              const std::shared_ptr<subscriber>& host);
  void strip_large_tables(feed_message& message) const;
  std::string next_message(subscriber& host) const;
  bool has_capacity_for(const feed_subscription& request) const;
  std::vector<base::address> alternatives_for(const feed_subscription& request) const;

  boost::asio::io_context& io_;
  serving::traffic_state& state_;
  const registry_replica& replica_;
  feed_server_options options_;
  serving::listener listener_;
  std::list<std::shared_ptr<subscriber>> subscribers_;
};

}  // namespace catkintack::control
