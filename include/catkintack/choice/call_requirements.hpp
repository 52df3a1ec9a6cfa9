/// @file
/// What one call needs, as far as choosing for it goes.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/completion_estimate.hpp"

namespace catkintack::choice {

/// @brief A call that waits to be sent.
struct call_requirements {
  service_time_profile service_time;  ///< How long its work takes.
  base::duration objective_left{};    ///< Until an answer loses value; negative when it has.
  base::duration deadline_left{};     ///< Until the caller stops waiting.
  base::duration held_for{};          ///< How long this host has held it already.
  base::duration max_hold{};          ///< How long this host may hold it before it is sent.
  bool is_retry = false;              ///< The caller was refused before and came back.
  bool may_leave_region = true;       ///< The budget of bytes between regions has room for it.
  std::uint64_t remote_bytes = 0;     ///< Expected bytes on the link if it leaves the region.
};

}  // namespace catkintack::choice
