/// @file
/// Publishes registry changes to other hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
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
  /// Subscribers in each other failure domain of the region, which relay to the rest of their
  /// domain for the same reason.
  std::size_t subscribers_per_other_domain = 3;
  /// Interval between messages when nothing changes.
  base::duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Larger tables are only announced, and subscribers read them from the registry: sending one to
  /// every subscriber would overload the link of a small host.
  std::size_t max_inline_routes = 5000;
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
  /// @brief Returns the feed addresses of the subscribers.
  std::vector<base::address> subscribers() const;
  /// @brief Hosts that are currently subscribed.
  std::size_t subscriber_count() const { return subscribers_.size(); }

 private:
  struct subscriber {
    explicit subscriber(boost::asio::io_context& io) : timer(io) {}
    base::address feed_address;
    base::region_id region;
    base::failure_domain_id failure_domain;
    bool watches_registry = false;
    boost::asio::steady_timer timer;
    registry_revision sent_revision;      ///< Revision of the last message sent.
    std::uint64_t sent_limit_change = 0;  ///< Last change of a limit that was sent.
    base::instant sent_at = base::instant::min();
    bool wants_large_tables = false;
    bool pending_change = false;  ///< A change arrived while a message was being sent.
    bool gone = false;            ///< The subscriber closed its connection.
  };

  boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream);
  boost::asio::awaitable<void> publish(boost::beast::tcp_stream& stream, subscriber& host);
  static void watch_for_close(boost::beast::tcp_stream& stream,
                              const std::shared_ptr<subscriber>& host);
  void strip_large_tables(feed_changes& changes) const;
  std::string encode_changes(const subscriber& host) const;
  /// @brief Returns the changes for a subscriber, encoded once for all that need the same.
  const std::string& changes_for(const subscriber& host);
  std::string next_message(subscriber& host);
  bool has_capacity_for(const feed_subscription& request) const;
  std::vector<base::address> alternatives_for(const feed_subscription& request) const;

  boost::asio::io_context& io_;
  serving::traffic_state& state_;
  const registry_replica& replica_;
  feed_server_options options_;
  serving::listener listener_;
  std::list<std::shared_ptr<subscriber>> subscribers_;
  /// Encoded changes by the revision of the subscriber and whether it wants large tables, for the
  /// state below.
  std::map<std::pair<registry_revision, bool>, std::string> encoded_;
  registry_revision encoded_revision_;
  base::list_version encoded_table_;
};

}  // namespace catkintack::control
