/// @file
/// Policies for the hosts of a simulated fleet: the baselines and the decision core.
#pragma once

#include <string>
#include <vector>

#include "catkintack/gateway/gateway.hpp"
#include "fleet.hpp"

namespace catkintack::bench {

/// @brief A policy in the comparison and its printed name.
struct named_policy {
  std::string name;
  policy_factory make;
};

/// @brief Returns the baselines: random, least-own, two-own, two-estimate and least-estimate.
std::vector<named_policy> baseline_policies();

/// @brief Returns a factory of the decision core that the daemon runs.
policy_factory core_policy(const gateway::gateway_options& options);

}  // namespace catkintack::bench
