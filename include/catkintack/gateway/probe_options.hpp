/// @file
/// Options of probing.
#pragma once

#include "catkintack/base/units.hpp"
#include "catkintack/routing/probe_budget.hpp"

namespace catkintack::gateway {

/// @brief What probes may cost, and how often one is considered.
struct probe_options {
  routing::probe_budget_options budget;
  routing::probe_cost cost{600, 6};  ///< At most, of one probe.
  base::duration interval = std::chrono::milliseconds(100);
  base::duration timeout = std::chrono::milliseconds(250);
};

}  // namespace catkintack::gateway
