/// @file
/// A simulated endpoint with a fixed number of slots, in virtual time.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "catkintack/base/units.hpp"
#include "catkintack/routing/load_report.hpp"

namespace catkintack::bench {

/// @brief A time window in which an endpoint runs at a tenth of its speed.
struct slow_window {
  base::instant begin{};
  base::instant end{};
};

/// @brief An attempt and the work that it needs; call and number identify it.
struct queued_attempt {
  std::uint64_t call = 0;
  std::uint64_t number = 0;
  base::duration work{};
  bool operator==(const queued_attempt& other) const {
    return call == other.call && number == other.number;
  }
};

/// @brief An endpoint that serves attempts first come, first served.
struct fleet_endpoint {
  std::uint32_t slots = 2;
  std::uint32_t running = 0;
  std::deque<queued_attempt> queue;
  std::vector<slow_window> slow_windows;
  std::deque<std::pair<base::instant, routing::load_report>> load_history;
  bool fails = false;        ///< Answers 500 without queueing.
  bool leaving = false;      ///< Announced in its load reports.
  bool unreachable = false;  ///< Refuses connections.
  bool remote = false;

  /// @brief Returns when work started now completes, slow windows included.
  /// @param work The time needed at full speed.
  base::instant completion_time(base::instant now, base::duration work) const;
  /// @brief Returns whether the time is within a slow window.
  bool is_slow_at(base::instant now) const;
  /// @brief Records the current load for later reports.
  void record_load(base::instant now);
  /// @brief Returns the load at a past time; discards the records before it.
  /// @param then Must not decrease between calls.
  routing::load_report load_at(base::instant then);
};

}  // namespace catkintack::bench
