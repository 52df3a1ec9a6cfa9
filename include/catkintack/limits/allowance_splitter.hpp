/// @file
/// This host's share of every allowance, by the demand that hosts tell each other.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/limits/demand_report.hpp"

namespace catkintack::limits {

/// @brief How demand is exchanged.
struct allowance_splitter_options {
  base::incarnation run;
  base::duration report_interval = std::chrono::milliseconds(500);
  std::uint32_t window_report_count = 3;  ///< Reports of which at least one must reach each peer.
  std::uint32_t notice_report_count = 2;  ///< Further reports before a host exceeds the even share.
  double even_fraction = 0.1;             ///< Part of an allowance that is always split evenly.
  double announce_threshold = 0.8;  ///< Part of the even share from which demand is announced.
  std::uint32_t bytes_per_second = 6144;      ///< Sent by this host to all peers together.
  std::uint32_t report_overhead_bytes = 128;  ///< Bytes of a report without entries, as sent.
};

/// @brief Demand of an account since the report before.
struct measured_demand {
  account_key account = 0;
  double amount = 0;  ///< Part of the allowance that callers asked of this host.
};

/// @brief Splits allowances between hosts. Not thread-safe.
///
/// Every account is split evenly until a host announces that its even share is short. Hosts claim
/// by the lowest demand of their last reports and allow for the highest of their peers', so that
/// the shares add up to at most one while each host has one report of every other's window.
class allowance_splitter {
 public:
  explicit allowance_splitter(allowance_splitter_options options = {});

  /// @brief Sets how many hosts share the allowances.
  /// @param live_hosts Hosts believed to serve, at least 1.
  void set_live_hosts(std::uint32_t live_hosts);

  /// @brief Whether the next report is due.
  /// @param now The time.
  /// @return True once an interval after the report before.
  bool report_due(base::instant now) const;

  /// @brief Takes in this host's demand and makes the next report.
  /// @param now The time.
  /// @param measured Demand of the accounts in use.
  /// @return What all peers are to be told; nothing when it has no entries.
  demand_report make_report(base::instant now, const std::vector<measured_demand>& measured);

  /// @brief Takes in a peer's report; an old one is ignored.
  /// @param now The time.
  /// @param host The peer.
  /// @param report Its report.
  void on_peer_report(base::instant now, const base::host_id& host, const demand_report& report);

  /// @brief This host's share of an account.
  /// @param now The time.
  /// @param account The account.
  /// @return From 0 to 1.
  double share(base::instant now, account_key account) const;

  /// @brief The bound of the shares' sum over all hosts.
  /// @param hosts Hosts that serve.
  /// @param min_believed_hosts The smallest number of hosts that one of them believes in.
  /// @param islands Groups of hosts that hear only each other.
  /// @param joining Hosts that began to serve within the last window and have not heard all peers.
  /// @return 1 when all hear and count each other.
  static double max_total_share(std::uint32_t hosts,
                                std::uint32_t min_believed_hosts,
                                std::uint32_t partitions,
                                std::uint32_t joining_hosts);

 private:
  struct own_demand {
    std::deque<std::uint16_t> recent;  ///< One for each of the window's reports, newest last.
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
