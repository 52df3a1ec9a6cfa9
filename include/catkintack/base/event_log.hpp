/// @file
/// Bounded in-memory log of a daemon's events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "catkintack/base/event_record.hpp"
#include "catkintack/base/event_ring.hpp"
#include "catkintack/base/hooks.hpp"

namespace catkintack::base {

/// @brief Identity of the daemon, and capacity of the log.
struct event_log_options {
  host_id host;
  incarnation run;
  std::size_t capacity = 4096;  ///< Events kept in each of the two ring buffers.
};

/// @brief Ring buffers of events with timestamps of a hybrid logical clock. Thread-safe.
///
/// Request events have a ring buffer of their own, so that heavy traffic does not evict the edits,
/// host changes and breaches (violations of a guarantee) that operators look for.
class event_log {
 public:
  event_log(event_log_options options, wall_clock_hook wall_clock);

  /// @brief Records an event.
  /// @param part Name of the module, for example "routing".
  /// @param kind Name of the event, for example "attempt_sent".
  /// @param request The request that the event belongs to; may be empty.
  /// @param fields Details; must not contain customers' keys or bodies.
  void record(std::string part,
              std::string kind,
              request_id request = {},
              std::vector<event_field> fields = {});

  /// @brief Advances the hybrid clock to at least the timestamp of a peer's message.
  void observe(std::uint64_t peer_time);

  /// @brief Returns a timestamp for an outgoing message, later than all events recorded so far.
  std::uint64_t stamp();

  /// @brief Returns copies of the events that are still kept and have a sequence number above the
  /// given one, oldest first.
  std::vector<event_record> since(std::uint64_t sequence) const;

 private:
  std::uint64_t wall_us() const;
  std::uint64_t advance_clock(std::uint64_t wall_us);

  event_log_options options_;
  wall_clock_hook wall_clock_;
  mutable std::mutex mutex_;
  event_ring request_events_;
  event_ring notable_events_;  ///< Events that belong to no request, and breaches.
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_time_ = 0;
};

}  // namespace catkintack::base
