/// @file
/// Baseline policies, and the real decision core, as policies of a fleet's hosts.
#pragma once

#include <string>
#include <vector>

#include "catkintack/gateway/gateway.hpp"
#include "fleet.hpp"

namespace catkintack::bench {

/// @brief A policy under comparison.
struct named_policy {
  std::string name;
  policy_factory make;
};

/// @brief The baselines.
/// @return random, least-own, two-own, two-estimate, least-estimate.
std::vector<named_policy> baseline_policies();

/// @brief The decision core that the daemon runs.
/// @param options How it decides.
/// @return Its factory.
policy_factory core_policy(const gateway::gateway_options& options);

}  // namespace catkintack::bench
