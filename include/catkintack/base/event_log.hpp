/// @file
/// The bounded record of a daemon's events.
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

/// @brief Who records, and how much is kept.
struct event_log_options {
  host_id host;
  incarnation run;
  std::size_t capacity = 4096;  ///< Events kept of requests, and as many of all else.
};

/// @brief Rings of events stamped with a hybrid clock. Safe for use by several threads.
///
/// Events of requests have a ring of their own, so that heavy traffic does not push out the edits,
/// changes of hosts and breaches that operators look for.
class event_log {
 public:
  event_log(event_log_options options, wall_clock_hook wall_clock);

  /// @brief Records an event.
  /// @param part Module, for example "routing".
  /// @param kind What happened.
  /// @param request The request concerned; may be empty.
  /// @param fields Details; never keys or bodies.
  void record(std::string part,
              std::string kind,
              request_id request = {},
              std::vector<event_field> fields = {});

  /// @brief Moves the hybrid clock past one carried by a peer's message.
  /// @param peer_time The time on the message.
  void observe(std::uint64_t peer_time);

  /// @brief The hybrid clock for an outgoing message.
  /// @return A time later than every event recorded so far.
  std::uint64_t stamp();

  /// @brief The events after a sequence number.
  /// @param sequence Events up to and including this one are left out.
  /// @return Copies of the events still kept, oldest first.
  std::vector<event_record> since(std::uint64_t sequence) const;

 private:
  std::uint64_t wall() const;
  std::uint64_t advance_clock(std::uint64_t wall);

  event_log_options options_;
  wall_clock_hook wall_clock_;
  mutable std::mutex mutex_;
  event_ring request_events_;
  event_ring notable_events_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_time_ = 0;
};

}  // namespace catkintack::base
