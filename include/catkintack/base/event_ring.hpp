/// @file
/// A bounded store of events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "catkintack/base/event_record.hpp"

namespace catkintack::base {

/// @brief A recorded event, shared with readers so that none copies it under a lock.
using shared_event = std::shared_ptr<const event_record>;

/// @brief The newest events, up to a capacity. Not safe for use by several threads.
class event_ring {
 public:
  /// @brief Makes an empty ring.
  /// @param capacity Events kept, 1 or more.
  explicit event_ring(std::size_t capacity);

  /// @brief Stores an event.
  /// @param entry The event.
  /// @return The event that it displaced, for release outside a lock; may be null.
  shared_event push(shared_event entry);

  /// @brief Appends the events after a sequence number, oldest first.
  /// @param sequence Events up to and including this one are left out.
  /// @param target Takes the events.
  void append_since(std::uint64_t sequence, std::vector<shared_event>& target) const;

 private:
  std::vector<shared_event> entries_;
  std::size_t next_ = 0;
};

}  // namespace catkintack::base
