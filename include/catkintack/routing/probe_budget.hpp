/// @file
/// A host's share of what the fleet may spend on probes.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::routing {

/// @brief What the whole fleet may spend, and how the host list behaves.
struct probe_budget_options {
  double bytes_per_second = 14'000;                   ///< Of the fleet, both ways.
  double upstream_ms_per_second = 50;                 ///< Of the fleet, at all upstreams.
  base::duration burst = std::chrono::seconds(10);    ///< Unspent share that is kept.
  base::duration list_lag = std::chrono::seconds(5);  ///< Longest age of the host list's content.
  std::uint32_t min_hosts = 2;       ///< The share is never larger than that of so many hosts.
  std::uint32_t assumed_hosts = 64;  ///< Assumed while the list can't be read.
};

/// @brief What a probe costs at most.
struct probe_cost {
  double bytes = 0;
  double upstream_ms = 0;
};

/// @brief Token buckets of this host. Over all hosts, spending in any window is at most the
/// fleet's budget for the window and one burst, whatever joins, leaves and lags. Not thread-safe.
class probe_budget {
 public:
  /// @brief Starts without tokens; no probe is allowed for twice the list's lag, so that all
  /// other hosts count this one before it spends.
  /// @param options The fleet's budget.
  /// @param now When the host joined.
  probe_budget(probe_budget_options options, base::instant now);

  /// @brief Takes in a reading of the host list.
  /// @param now When it was read.
  /// @param listed Hosts on the list.
  /// @param live Hosts known to be alive, this one included.
  void set_host_count(base::instant now, std::uint32_t listed, std::uint32_t live);

  /// @brief Whether a probe's cost is covered.
  /// @param now The time.
  /// @param cost The most that the probe may use.
  /// @return True when try_spend() would spend it.
  bool can_spend(base::instant now, const probe_cost& cost);

  /// @brief Spends a probe's cost in advance.
  /// @param now The time.
  /// @param cost The most that the probe may use.
  /// @return False when it isn't covered; nothing is spent then.
  bool try_spend(base::instant now, const probe_cost& cost);

  /// @brief All that was spent.
  /// @return The sum of the costs.
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
