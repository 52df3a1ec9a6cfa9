/// @file
/// Schedule and budget of hedged attempts.
#pragma once

#include <optional>
#include <queue>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/gateway/hedge_options.hpp"

namespace catkintack::gateway {

/// @brief Orders calls by the time of their hedge and tracks the budget. Not thread-safe.
class hedge_schedule {
 public:
  explicit hedge_schedule(hedge_options options);

  /// @brief Adds one call's share to the budget.
  void credit_call();
  /// @brief Schedules a hedge for a call.
  void schedule(base::instant due, base::call_id call);
  /// @brief Removes and returns the next call whose hedge is due; none if no hedge is due.
  std::optional<base::call_id> pop_due(base::instant now);
  /// @brief Returns whether the budget allows a hedge, so that spend() may be called.
  bool has_budget() const { return budget_ >= 1; }
  /// @brief Takes one hedge from the budget.
  void spend() { budget_ -= 1; }

 private:
  struct entry {
    base::instant due{};
    base::call_id call;
    bool operator<(const entry& other) const { return other.due < due; }
  };

  hedge_options options_;
  double budget_;
  std::priority_queue<entry> entries_;
};

}  // namespace catkintack::gateway
