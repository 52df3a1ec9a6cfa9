/// @file
/// The latest changes, for hosts that are some steps behind.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "catkintack/control/change_batch.hpp"

namespace catkintack::control {

/// @brief A bounded run of batches without gaps between them. Not thread-safe.
class change_log {
 public:
  /// @param most Batches kept; a host further behind takes everything anew.
  explicit change_log(std::size_t most = 64) : most_(most) {}

  /// @brief Adds the next batch; one that does not join the last starts the log anew.
  void add(change_batch batch);
  /// @brief Starts anew: nothing before a revision can be told in steps.
  void restart(std::uint64_t revision);
  /// @brief The batches that lead on from a revision.
  /// @return Nothing if the log does not reach back so far.
  std::optional<std::vector<change_batch>> since(std::uint64_t revision) const;

 private:
  std::size_t most_;
  std::uint64_t first_ = 0;  ///< The revision from which the log leads on.
  std::uint64_t last_ = 0;   ///< The revision to which it leads.
  std::deque<change_batch> batches_;
};

}  // namespace catkintack::control
