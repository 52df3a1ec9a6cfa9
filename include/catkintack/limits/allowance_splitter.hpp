/// @file
/// Splits allowances between hosts according to the demand that they report to each other.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/limits/demand_report.hpp"

namespace catkintack::limits {

/// @brief Parameters of the exchange of demand reports.
struct allowance_splitter_options {
  base::incarnation run;
  base::duration report_interval = std::chrono::milliseconds(500);
  /// Reports in a window; at least one of them must reach each peer for the shares to stay
  /// within 1.
  std::uint32_t window_report_count = 3;
  /// Reports that a host sends after its first announcement before it exceeds its even share.
  std::uint32_t notice_report_count = 2;
  double even_fraction = 0.1;       ///< Fraction of an allowance that is always split evenly.
  double announce_threshold = 0.8;  ///< Fraction of the even share from which demand is announced.
  std::uint32_t bytes_per_second = 6144;      ///< Limit for reports to all peers together.
  std::uint32_t report_overhead_bytes = 128;  ///< Size of a report without entries on the wire.
};

/// @brief Demand for an account since the previous report.
struct measured_demand {
  account_key account = 0;
  double amount = 0;  ///< Fraction of the allowance that callers requested from this host.
};

/// @brief Computes the share of each allowance that this host may use. Not thread-safe.
///
/// An account is one customer's use of one service. It is split evenly until a host announces that
/// its even share is too small. A host claims according to the lowest demand in its own recent
/// reports and assumes the highest recent demand of its peers. The shares therefore add up to at
/// most 1 as long as every host has received at least one report per window from every other host.
class allowance_splitter {
 public:
  explicit allowance_splitter(allowance_splitter_options options = {});

  /// @brief Sets the number of hosts that share the allowances.
  /// @param live_hosts Hosts believed to be serving; values below 1 count as 1.
  void set_live_hosts(std::uint32_t live_hosts);

  /// @brief Returns whether a report interval has passed since the previous report.
  bool report_due(base::instant now) const;

  /// @brief Records the demand of this host and creates the next report.
  /// @param measured Demand for the accounts in use.
  /// @return The report for all peers. A report without entries need not be sent.
  demand_report make_report(base::instant now, const std::vector<measured_demand>& measured);

  /// @brief Records a report of a peer; a report that is not newer than the last one is ignored.
  void on_peer_report(base::instant now, const base::host_id& host, const demand_report& report);

  /// @brief Returns the share of an account that this host may use, from 0 to 1.
  double share(base::instant now, account_key account) const;

  /// @brief Computes an upper bound of the sum of the shares of all hosts.
  /// @param hosts Hosts that serve.
  /// @param min_believed_hosts Lowest number of live hosts that any of them assumes.
  /// @param partitions Groups of hosts that can reach only each other.
  /// @param joining_hosts Hosts that started to serve within the last window and have not received
  /// reports from all peers.
  /// @return 1 when all hosts can reach each other and assume the true number of live hosts.
  static double max_total_share(std::uint32_t hosts,
                                std::uint32_t min_believed_hosts,
                                std::uint32_t partitions,
                                std::uint32_t joining_hosts);

 private:
  struct own_demand {
    std::deque<std::uint16_t> recent;  ///< Demand in recent reports, newest last.
    std::uint8_t consecutive_reports = 0;

    std::uint16_t lowest() const;
    std::uint16_t highest() const;
    std::uint16_t with_hysteresis(std::uint16_t measured) const;
  };

  struct peer_demand {
    base::instant received_at{};
    base::incarnation run;
    std::uint64_t sequence = 0;
    std::map<account_key, demand_entry> entries;
  };

  base::duration window() const;
  bool announced(base::instant now, account_key account) const;
  bool claimed(base::instant now, account_key account) const;
  std::size_t max_entries() const;
  std::uint16_t demand_to_announce(base::instant now, const measured_demand& measured) const;
  void expire_peers(base::instant now);

  allowance_splitter_options options_;
  std::uint32_t live_hosts_ = 1;
  std::uint64_t sequence_ = 0;
  base::instant published_at_{};
  std::map<account_key, own_demand> own_;
  std::map<base::host_id, peer_demand> peers_;
};

}  // namespace catkintack::limits
