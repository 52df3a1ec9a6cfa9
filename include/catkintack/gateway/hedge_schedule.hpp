/// @file
/// Which calls are to be hedged, when, and how many may be.
#pragma once

#include <optional>
#include <queue>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/gateway/hedge_options.hpp"

namespace catkintack::gateway {

/// @brief Orders calls by the time of their hedge and keeps the budget. Not thread-safe.
class hedge_schedule {
 public:
  explicit hedge_schedule(hedge_options options);

  /// @brief Counts a call, which adds its share to the budget.
  void on_call();
  /// @brief Plans a hedge.
  /// @param due When.
  /// @param call For which call.
  void plan(base::instant due, base::call_id call);
  /// @brief Takes out the next call whose time has come.
  /// @param now The time.
  /// @return The call; none when none is due.
  std::optional<base::call_id> next_due(base::instant now);
  /// @brief Whether the budget allows a hedge.
  /// @return True when spend() may be called.
  bool may_spend() const { return budget_ >= 1; }
  /// @brief Spends one hedge of the budget.
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
