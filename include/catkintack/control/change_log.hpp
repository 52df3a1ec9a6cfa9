/// @file
/// The most recent changes, for hosts that are a few batches behind.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "catkintack/control/change_batch.hpp"

namespace catkintack::control {

/// @brief A bounded sequence of contiguous batches. Not thread-safe.
class change_log {
 public:
  /// @param capacity Number of batches kept; a host further behind needs a full snapshot.
  explicit change_log(std::size_t capacity = 64) : capacity_(capacity) {}

  /// @brief Appends the next batch; a batch that leaves a gap after the last one clears the log.
  void append(change_batch batch);
  /// @brief Clears the log; it then starts at the given revision.
  void reset(registry_revision revision);
  /// @brief Returns the batches after a revision.
  /// @return Nothing if the log does not reach back to that revision.
  std::optional<std::vector<change_batch>> since(registry_revision revision) const;

 private:
  std::size_t capacity_;
  registry_revision first_revision_;  ///< The revision before the first batch.
  registry_revision last_revision_;   ///< The revision after the last batch.
  std::deque<change_batch> batches_;
};

}  // namespace catkintack::control
