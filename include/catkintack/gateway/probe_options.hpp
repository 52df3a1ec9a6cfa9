/// @file
/// Options of upstream probes.
#pragma once

#include "catkintack/base/units.hpp"
#include "catkintack/routing/probe_budget.hpp"

namespace catkintack::gateway {

/// @brief The cost budget of probes and how often one is considered.
struct probe_options {
  routing::probe_budget_options budget;
  routing::probe_cost cost{600, 6};  ///< Upper bound for one probe.
  base::duration interval = std::chrono::milliseconds(100);
  base::duration timeout = std::chrono::milliseconds(250);
};

}  // namespace catkintack::gateway
