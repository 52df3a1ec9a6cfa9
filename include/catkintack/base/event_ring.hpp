/// @file
/// Ring buffer of events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "catkintack/base/event_record.hpp"

namespace catkintack::base {

/// @brief A recorded event, shared with readers so that they need not copy it while holding a lock.
using shared_event = std::shared_ptr<const event_record>;

/// @brief Keeps the newest events, up to a capacity. Not thread-safe.
class event_ring {
 public:
  /// @param capacity Number of events kept, at least 1.
  explicit event_ring(std::size_t capacity);

  /// @brief Stores an event.
  /// @return The event that was evicted, so that the caller can destroy it after releasing its
  /// lock; may be null.
  shared_event push(shared_event entry);

  /// @brief Appends the events with a higher sequence number to target, oldest first.
  void append_since(std::uint64_t sequence, std::vector<shared_event>& target) const;

 private:
  std::vector<shared_event> entries_;
  std::size_t next_ = 0;
};

}  // namespace catkintack::base
