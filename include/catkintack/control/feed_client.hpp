/// @file
/// Receives registry changes from other hosts.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "catkintack/control/feed_message.hpp"
#include "catkintack/control/registry_replica.hpp"
#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::control {

/// @brief Publishers and limits of a feed client.
struct feed_client_options {
  std::vector<base::address> seeds{};  ///< Hosts that watch the registry.
  base::address self{};                ///< This host; excluded from the seeds.
  bool watches_registry = false;       ///< This host watches the registry itself.
  /// Subscribed to at once; with one, a partition could go unnoticed.
  std::size_t publisher_count = 2;
  /// A publisher is dropped after this long without a message; it sends two per second.
  base::duration silence_timeout = std::chrono::milliseconds(1300);
  /// State that the registry confirmed longer ago counts as stale; each relay in between adds up to
  /// half a second.
  base::duration max_age = std::chrono::milliseconds(2000);
  /// A publisher whose state is older than this is replaced by another.
  base::duration publisher_max_age = std::chrono::seconds(6);
  /// Hop count above which a publisher counts as detached from the seeds: the count of hosts in a
  /// subscription cycle, or below a host that lost its publishers, rises to this limit.
  std::uint32_t max_hops = 6;
  /// A detached publisher is kept for this long, as it may be up to date because a host above it
  /// watches the registry for the time being. Then the first subscription tries the seeds again.
  base::duration detached_timeout = std::chrono::seconds(2);
  /// A publisher of an older build is not used: it drops parts of the configuration.
  std::uint32_t min_protocol_version = 0;
  base::duration connect_timeout = std::chrono::milliseconds(500);
  base::duration initial_backoff = std::chrono::milliseconds(200);  ///< After one lost publisher.
  base::duration max_backoff = std::chrono::seconds(2);  ///< After several lost in a row.
};

/// @brief Subscribes to several publishers at once and applies the newest state that they send. Not
/// thread-safe.
class feed_client {
 public:
  feed_client(boost::asio::any_io_executor executor,
              serving::traffic_state& state,
              registry_replica& replica,
              feed_client_options options);

  /// @brief Starts the subscriptions.
  /// @param on_change Called when up_to_date() may have changed.
  void start(std::function<void()> on_change);

  /// @brief Whether a publisher keeps this host up to date, so that it does not need the registry.
  bool up_to_date() const;

  /// @brief Returns how long this host stays up to date without a further message; not positive if
  /// it is not up to date.
  base::duration up_to_date_for() const;

  /// @brief Whether a publisher sends its state, up to date or not.
  bool has_publisher() const;

  /// @brief Returns the current publishers.
  std::vector<base::address> publishers() const;

  /// @brief Requests large tables from the publishers too, as the registry is unreachable. While a
  /// table is missing, closes the connections, so that each publisher is asked again.
  void request_large_tables();

 private:
  /// @brief The state of one subscription.
  struct publisher_slot {
    explicit publisher_slot(const boost::asio::any_io_executor& executor) : timer(executor) {}
    base::address publisher;  ///< Empty while there is no subscription.
    /// Hosts to try next, named by a publisher without capacity.
    std::vector<base::address> referrals;
    base::instant subscribed_at = base::instant::min();
    base::instant confirmed_at = base::instant::min();
    base::instant attached_at = base::instant::min();  ///< Last message within the hop limit.
    std::uint32_t hops = 0;
    std::unique_ptr<serving::upstream_connection> connection;
    boost::asio::steady_timer timer;
    unsigned failures = 0;
  };

  boost::asio::awaitable<void> run_slot(std::shared_ptr<publisher_slot> slot);
  boost::asio::awaitable<std::string> consume_feed(publisher_slot& slot);
  boost::asio::awaitable<bool> receive_message(publisher_slot& slot, std::string& reason);
  std::string subscription() const;
  bool handle_message(publisher_slot& slot, const feed_message& message, std::string& reason);
  bool apply_changes(const std::string& encoded, const std::string& source, std::string& reason);
  std::string reason_to_leave(const publisher_slot& slot, base::duration age) const;
  base::address choose_publisher(publisher_slot& slot);
  void drop_publisher(publisher_slot& slot, const std::string& reason);
  void update_status();

  boost::asio::any_io_executor executor_;
  serving::traffic_state& state_;
  registry_replica& replica_;
  feed_client_options options_;
  std::function<void()> on_change_;
  std::vector<std::shared_ptr<publisher_slot>> slots_;
  bool wants_large_tables_ = false;
  bool was_up_to_date_ = false;  ///< The state that was last logged.
};

}  // namespace catkintack::control
