/// @file
/// Shares crashes of upstreams with all hosts through the registry.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "catkintack/base/hooks.hpp"
#include "catkintack/choice/crash_record.hpp"
#include "catkintack/control/change_outcome.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief Outcome of a change, and the entry afterwards.
struct change_result {
  change_outcome outcome = change_outcome::unreachable;
  choice::crash_record entry{};  ///< Revision 0: there is none.
  std::string detail{};          ///< Why the registry was unreachable, for the log.
};

/// @brief Changes of crash records in the registry. Each is made only if the entry still has the
/// revision of the record.
struct crash_registry_hooks {
  std::function<boost::asio::awaitable<change_result>(choice::crash_record)> write;
  std::function<boost::asio::awaitable<change_result>(choice::crash_record)> remove;
};

/// @brief Settings of a crash reporter.
struct crash_reporter_options {
  bool removes_expired = false;  ///< Whether this host removes entries that are out of date.
  base::duration suspicion_time = std::chrono::minutes(10);  ///< Of a request not quarantined.
  base::duration expiry_interval = std::chrono::minutes(1);
  base::duration initial_backoff = std::chrono::milliseconds(200);  ///< After a failed call.
  base::duration max_backoff = std::chrono::seconds(2);
};

/// @brief Writes the crashes that this host saw to the registry, from which all hosts receive them.
/// Not thread-safe.
///
/// The registry is used as no host may have to remember: all of them can restart at once, and a
/// request may come to a different host each time.
class crash_reporter {
 public:
  /// @param state Provides the ledger, log, metrics, clock and random source.
  crash_reporter(const boost::asio::any_io_executor& executor,
                 serving::traffic_state& state,
                 crash_registry_hooks registry,
                 base::wall_clock_hook wall_clock,
                 crash_reporter_options options = {});

  /// @brief Runs for the life of the process.
  boost::asio::awaitable<void> run();
  /// @brief Called when the ledger may hold something to report.
  void wake();
  /// @brief Removes the entry of a request that an upstream answered.
  void clear(const choice::crash_record& answered);

 private:
  boost::asio::awaitable<bool> report(choice::crash_record record);
  boost::asio::awaitable<bool> remove_next();
  void queue_expired();
  std::int64_t now_ms() const;

  serving::traffic_state& state_;
  crash_registry_hooks registry_;
  base::wall_clock_hook wall_clock_;
  crash_reporter_options options_;
  boost::asio::steady_timer timer_;
  std::deque<choice::crash_record> to_remove_;
  base::instant next_expiry_;
  std::string last_failure_;  ///< Why the last call failed, for the log.
};

}  // namespace catkintack::control
