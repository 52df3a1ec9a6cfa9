/// @file
/// Bounds of second attempts for calls that take long.
#pragma once

namespace catkintack::gateway {

/// @brief How idempotent calls are hedged. The delay is the router's latency quantile.
struct hedge_options {
  double share = 0.05;        ///< Hedges as a share of calls; 0 for none.
  double burst = 5;           ///< Hedges beyond the share, at once.
  double delay_factor = 2.0;  ///< On the latency quantile.
};

}  // namespace catkintack::gateway
