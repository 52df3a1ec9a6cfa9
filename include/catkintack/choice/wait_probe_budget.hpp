/// @file
/// Budget of the probes for calls that wait for a free slot.
#pragma once

#include <algorithm>
#include <cstddef>

namespace catkintack::choice {

/// @brief Parameters of a wait probe budget.
struct wait_probe_options {
  double per_call = 3;        ///< Probes that each call adds to the budget.
  double max_balance = 600;   ///< Largest number of probes saved up for a crest.
  double start_balance = 60;  ///< At the start of the host.
};

/// @brief Limits the probes of waiting calls to a multiple of the host's calls, so that all hosts
/// together stay within the same multiple however many there are. The probes of a call's first
/// search are not counted. Not thread-safe.
class wait_probe_budget {
 public:
  explicit wait_probe_budget(wait_probe_options options = {})
      : options_(options), balance_(options.start_balance) {}

  /// @brief Counts a call.
  void on_call() { balance_ = std::min(balance_ + options_.per_call, options_.max_balance); }
  /// @brief Records probes that were sent for a waiting call.
  void spend(std::size_t probes) {
    balance_ = std::max(balance_ - static_cast<double>(probes), 0.0);
  }
  /// @brief Whether a waiting call may probe again.
  bool can_spend() const { return balance_ >= 1; }

 private:
  wait_probe_options options_;
  double balance_;
};

}  // namespace catkintack::choice
