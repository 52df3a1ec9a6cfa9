/// @file
/// An endpoint with slots in virtual time.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "catkintack/base/units.hpp"
#include "catkintack/routing/load_report.hpp"

namespace catkintack::bench {

/// @brief A span of time in which an endpoint works at a tenth of its speed.
struct slow_window {
  base::instant begin{};
  base::instant end{};
};

/// @brief Names an attempt in the fleet.
struct job {
  std::uint64_t call = 0;
  std::uint64_t attempt = 0;
  base::duration work{};
  bool operator==(const job& other) const { return call == other.call && attempt == other.attempt; }
};

/// @brief A first-come, first-served endpoint.
struct fleet_endpoint {
  std::uint32_t slots = 2;
  std::uint32_t running = 0;
  std::deque<job> queue;
  std::vector<slow_window> slow;
  std::deque<std::pair<base::instant, routing::load_report>> history;
  bool fails = false;        ///< Answers 500 at once.
  bool leaving = false;      ///< Says so in its reports.
  bool unreachable = false;  ///< Refuses connections.
  bool remote = false;

  /// @brief When work begun now ends.
  /// @param now The time.
  /// @param work The work at full speed.
  /// @return The end, slow spans taken into account.
  base::instant end_of(base::instant now, base::duration work) const;
  /// @brief Whether the endpoint is slow.
  /// @param now The time.
  /// @return True inside a slow span.
  bool slow_at(base::instant now) const;
  /// @brief Keeps the present load for later reports.
  /// @param now The time.
  void remember(base::instant now);
  /// @brief The load as it was.
  /// @param then The time asked for.
  /// @return The report that was true then.
  routing::load_report report(base::instant then);
};

}  // namespace catkintack::bench
