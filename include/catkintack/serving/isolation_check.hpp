/// @file
/// Finds out whether this host reaches any upstream.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Intervals of an isolation check.
struct isolation_check_options {
  std::size_t upstreams_per_check = 4;  ///< Tried at once, of any service.
  base::duration interval = std::chrono::milliseconds(250);
};

/// @brief Checks the links to the upstreams while calls cannot reach several, and until they are
/// back. Idle otherwise.
class isolation_check {
 public:
  isolation_check(asio::any_io_executor executor,
                  traffic_state& state,
                  isolation_check_options options = {});

  /// @brief Runs for the life of the process.
  asio::awaitable<void> run();
  /// @brief Called when an upstream could not be reached.
  void wake();

 private:
  /// @brief Chooses upstreams at random, those first that were not unreachable a moment ago.
  std::vector<routing::upstream_record> choose_upstreams() const;
  asio::awaitable<void> check();
  void log_change();

  asio::any_io_executor executor_;
  traffic_state& state_;
  isolation_check_options options_;
  asio::steady_timer timer_;
  bool logged_isolated_ = false;
};

}  // namespace catkintack::serving
