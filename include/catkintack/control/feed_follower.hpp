/// @file
/// Lets other hosts tell this one of changes.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "catkintack/control/feed_message.hpp"
#include "catkintack/control/knowledge_keeper.hpp"
#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::control {

/// @brief Whom to follow, and how closely.
struct feed_follower_options {
  std::vector<base::address> seeds{};  ///< Hosts that watch the registry.
  base::address self{};                ///< Left out among the seeds.
  bool watches = false;                ///< This host watches the registry itself.
  std::size_t publishers = 2;          ///< Followed at once: one may be cut off unnoticed.
  /// Without a message for this long a publisher is given up; it sends two a second.
  base::duration silence_limit = std::chrono::milliseconds(1300);
  /// Knowledge that the registry confirmed longer ago is not relied on; each tier between adds up
  /// to half a second.
  base::duration age_limit = std::chrono::milliseconds(2000);
  /// A publisher whose knowledge is older than this is left for another.
  base::duration give_up_age = std::chrono::seconds(6);
  /// Hosts that tell each other in a circle count up to this and then look for others.
  std::uint32_t most_hops = 6;
  base::duration connect_limit = std::chrono::milliseconds(500);
  base::duration first_pause = std::chrono::milliseconds(200);  ///< After a publisher was lost.
  base::duration longest_pause = std::chrono::seconds(2);       ///< After several in a row.
};

/// @brief Follows some publishers at once; the newest of what they tell is in force. Not
/// thread-safe.
class feed_follower {
 public:
  feed_follower(boost::asio::any_io_executor executor,
                serving::traffic_state& state,
                knowledge_keeper& keeper,
                feed_follower_options options);

  /// @brief Begins to follow.
  /// @param on_change Called when informed() may have changed.
  void start(std::function<void()> on_change);

  /// @brief Whether a publisher keeps this host up to date, so that it need not ask the registry.
  bool informed() const;

  /// @brief The registry cannot be reached: large tables are wanted from the publishers too. One
  /// that had none when it was asked is asked again.
  void want_large();

 private:
  /// @brief One place for a publisher.
  struct feed_slot {
    explicit feed_slot(const boost::asio::any_io_executor& executor) : pause(executor) {}
    base::address publisher;             ///< Empty while none is followed.
    std::vector<base::address> advised;  ///< To be asked next, as a full publisher said.
    base::instant confirmed = base::instant::min();
    std::uint32_t hops = 0;
    std::unique_ptr<serving::upstream_connection> connection;
    boost::asio::steady_timer pause;
    unsigned failures = 0;
  };

  boost::asio::awaitable<void> fill(std::shared_ptr<feed_slot> place);
  boost::asio::awaitable<std::string> follow(feed_slot& place);
  boost::asio::awaitable<bool> receive(feed_slot& place, std::string& why);
  std::string subscription() const;
  bool take(feed_slot& place, feed_message message, std::string& why);
  base::address choose(feed_slot& place);
  void leave(feed_slot& place, const std::string& why);
  void note_informed();

  boost::asio::any_io_executor executor_;
  serving::traffic_state& state_;
  knowledge_keeper& keeper_;
  feed_follower_options options_;
  std::function<void()> on_change_;
  std::vector<std::shared_ptr<feed_slot>> slots_;
  bool want_large_ = false;
  bool was_informed_ = false;  ///< As last logged.
};

}  // namespace catkintack::control
