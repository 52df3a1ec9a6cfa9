/// @file
/// What one call needs, as far as choosing for it goes.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief A call that waits to be sent.
struct call_need {
  base::duration usual_work{};      ///< Time of its work on an idle machine of usual speed.
  base::duration objective_left{};  ///< Until an answer loses value; negative when it has.
  base::duration deadline_left{};   ///< Until the caller stops waiting.
  base::duration held{};            ///< How long this host has held it already.
  base::duration may_hold{};        ///< How long this host may hold it before it is sent.
  bool returned = false;            ///< The caller was refused before and came back.
  std::uint64_t remote_bytes = 0;   ///< Expected bytes on the link if it leaves the region.
};

}  // namespace catkintack::choice
