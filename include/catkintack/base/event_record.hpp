/// @file
/// An event of the time line.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::base {

/// @brief A named detail of an event.
struct event_field {
  std::string name;
  std::string value;
  bool operator==(const event_field&) const = default;
};

/// @brief A decision or observation of one daemon.
struct event_record {
  /// Hybrid clock: microseconds of the wall clock, advanced where needed to keep the causal order
  /// of events across peers.
  std::uint64_t time = 0;
  host_id host;
  incarnation run;
  std::uint64_t sequence = 0;  ///< Position among the events of this incarnation, from 1.
  request_id request;          ///< Empty when the event belongs to no request.
  std::string part;            ///< Module that recorded it, for example "routing".
  std::string kind;            ///< Name of the event, for example "attempt_sent".
  std::vector<event_field> fields;
};

/// @brief Formats an event as one line:
/// "time host/incarnation#sequence part kind [request] name=value ...".
std::string to_text(const event_record& record);

}  // namespace catkintack::base
