/// @file
/// Tells other hosts what this one knows, as it changes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <vector>

#include "catkintack/control/feed_message.hpp"
#include "catkintack/control/knowledge_keeper.hpp"
#include "catkintack/serving/io.hpp"
#include "catkintack/serving/listener.hpp"

namespace catkintack::control {

/// @brief Limits of a publisher.
struct feed_server_options {
  /// Subscribers at once; further hosts are sent on to these. A region of 60 hosts with a seed in
  /// it needs one tier; each tier more makes knowledge older.
  std::size_t most_subscribers = 64;
  /// Subscribers in each other region, beside those that watch the registry themselves; they
  /// tell the rest there, as bytes between regions are paid by volume.
  std::size_t subscribers_per_other_region = 1;
  /// Between messages when nothing changes.
  base::duration beat = std::chrono::milliseconds(500);
  /// Tables of more routes are only announced, and read from the registry by subscribers: the link
  /// of a small host would have to carry them to each.
  std::size_t large_routes = 200;
  base::duration send_limit = std::chrono::seconds(3);  ///< A host that reads no more is dropped.
};

/// @brief Serves feeds of changes. Not thread-safe.
class feed_server {
 public:
  /// @param io Runs it; must outlive it.
  /// @param state Where it logs and counts.
  /// @param keeper What is published.
  /// @param options Limits.
  feed_server(boost::asio::io_context& io,
              serving::traffic_state& state,
              const knowledge_keeper& keeper,
              feed_server_options options = {});

  /// @brief Begins to listen.
  /// @return The error if the address cannot be used.
  boost::system::error_code listen(const base::address& where);
  /// @brief Something changed: tells all at once.
  void wake();
  /// @brief Another host confirmed what is known: passes it on, where nothing was sent just now.
  void pass_on();
  /// @brief Hosts that follow this one.
  std::size_t subscribers() const { return subscribers_.size(); }

 private:
  struct subscriber {
    explicit subscriber(boost::asio::io_context& io) : pause(io) {}
    base::address where;
    base::region_id region;
    bool watches = false;
    boost::asio::steady_timer pause;
    std::uint64_t sent = 0;  ///< Revision that it was brought to.
    base::instant sent_at = base::instant::min();
    bool wants_large = false;
    bool changed = false;  ///< Something happened while a message was on its way.
  };

  boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream);
  boost::asio::awaitable<void> tell(boost::beast::tcp_stream& stream, subscriber& host);
  void leave_out_large(feed_message& message) const;
  std::string next_message(subscriber& host) const;
  bool has_room_for(const feed_subscription& asked) const;
  std::vector<base::address> advice(const feed_subscription& asked) const;

  boost::asio::io_context& io_;
  serving::traffic_state& state_;
  const knowledge_keeper& keeper_;
  feed_server_options options_;
  serving::listener listener_;
  std::list<std::shared_ptr<subscriber>> subscribers_;
};

}  // namespace catkintack::control
