/// @file
/// One entry of the time line.
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
  std::uint64_t time = 0;  ///< Hybrid clock: wall microseconds, raised to stay causal over peers.
  host_id host;
  incarnation run;
  std::uint64_t sequence = 0;  ///< Position among the events of this incarnation, from 1.
  request_id request;          ///< Empty when the event belongs to no request.
  std::string part;            ///< Module that recorded it, for example "routing".
  std::string kind;            ///< What happened, for example "attempt_sent".
  std::vector<event_field> fields;
};

/// @brief Writes an event on one line.
/// @param record The event.
/// @return "time host/incarnation#sequence part kind [request] name=value ...".
std::string to_text(const event_record& record);

}  // namespace catkintack::base
