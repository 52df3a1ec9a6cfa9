/// @file
/// Limits of hedged (second) attempts for slow calls.
#pragma once

namespace catkintack::gateway {

/// @brief Options for hedging idempotent calls after a multiple of the router's latency quantile.
struct hedge_options {
  double share = 0.05;        ///< Hedges per call; 0 disables hedging.
  double burst = 5;           ///< Maximum accumulated budget: hedges that may be sent at once.
  double delay_factor = 2.0;  ///< Multiplies the latency quantile.
};

}  // namespace catkintack::gateway
