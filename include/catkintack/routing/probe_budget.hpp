/// @file
/// A host's share of the fleet's probe budget.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::routing {

/// @brief Budget of the whole fleet and properties of the host list.
struct probe_budget_options {
  double bytes_per_second = 14'000;    ///< Fleet-wide, in both directions.
  double upstream_ms_per_second = 50;  ///< Time that probes take at upstreams, fleet-wide.
  base::duration burst = std::chrono::seconds(10);    ///< Unspent budget that is kept, as time.
  base::duration list_lag = std::chrono::seconds(5);  ///< Maximum staleness of the host list.
  std::uint32_t min_hosts = 2;       ///< Lower bound on the host count used for the share.
  std::uint32_t assumed_hosts = 64;  ///< Host count assumed while the list can't be read.
};

/// @brief Maximum cost of a probe.
struct probe_cost {
  double bytes = 0;
  double upstream_ms = 0;  ///< Time that the probe takes at the upstream.
};

/// @brief Token buckets of this host. Summed over all hosts, spending in any window is at most the
/// fleet's budget for the window plus one burst, regardless of hosts joining or leaving and of list
/// staleness. Not thread-safe.
class probe_budget {
 public:
  /// @brief Starts without tokens. No probe is allowed for twice the list lag, so that all other
  /// hosts count this one before it spends.
  /// @param now When the host joined.
  probe_budget(probe_budget_options options, base::instant now);

  /// @brief Updates the host count after the host list was read.
  /// @param now When the list was read.
  /// @param listed Number of hosts on the list.
  /// @param live Number of hosts known to be alive, including this one.
  void set_host_count(base::instant now, std::uint32_t listed, std::uint32_t live);

  /// @brief Returns whether try_spend() would spend the cost.
  /// @param cost Maximum cost of the probe.
  bool can_spend(base::instant now, const probe_cost& cost);

  /// @brief Spends a probe's cost in advance.
  /// @param cost Maximum cost of the probe.
  /// @return False if the budget does not cover the cost; nothing is spent then.
  bool try_spend(base::instant now, const probe_cost& cost);

  /// @brief Returns the total cost spent.
  const probe_cost& spent() const { return spent_; }

 private:
  double host_share(base::instant now) const;
  void refill(base::instant now);

  probe_budget_options options_;
  base::instant starts_at_;
  base::instant list_read_at_ = base::instant::min();
  std::uint32_t hosts_ = 0;
  base::instant refilled_at_;
  probe_cost tokens_;
  probe_cost spent_;
};

}  // namespace catkintack::routing
