/// @file
/// Lock-free counter for traffic threads.
#pragma once

#include <atomic>
#include <cstdint>

namespace catkintack::base {

/// @brief A counter metric. Thread-safe.
class metric_counter {
 public:
  /// @brief Increments the counter.
  void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }

  /// @brief Returns the current count.
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

}  // namespace catkintack::base
