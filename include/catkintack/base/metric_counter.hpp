/// @file
/// A counter that traffic threads raise without a lock.
#pragma once

#include <atomic>
#include <cstdint>

namespace catkintack::base {

/// @brief One counter. Safe for use by several threads.
class metric_counter {
 public:
  /// @brief Raises the counter.
  /// @param amount How much to add.
  void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }

  /// @brief The count so far.
  /// @return The count.
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

}  // namespace catkintack::base
