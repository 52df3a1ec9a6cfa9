/// @file
/// Admission of requests within the customers' allowances.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/config/allowance.hpp"
#include "catkintack/limits/allowance_splitter.hpp"
#include "catkintack/limits/demand_report.hpp"
#include "catkintack/limits/fair_share.hpp"

namespace catkintack::limits {

/// @brief What keeps a request from running.
enum class refusal_reason {
  none,        ///< Nothing; it is admitted.
  allowance,   ///< The customer has used its allowance.
  fair_share,  ///< The service is short and the customer has its share.
};

/// @brief The limiter's word on a request.
struct admission_decision {
  bool admitted = false;
  base::duration retry_after{};  ///< When a refused caller may come back.
  refusal_reason reason = refusal_reason::none;
};

/// @brief How long unused accounts are kept, and how demand is exchanged.
struct limiter_options {
  allowance_splitter_options shares;
  fair_share_options fairness;
  base::duration idle_timeout = std::chrono::seconds(120);  ///< Above burst / rate of any plan.
};

/// @brief This host's share of every customer's allowance. Not thread-safe.
class limiter {
 public:
  explicit limiter(limiter_options options = {});

  /// @brief Sets how many hosts share the allowances.
  /// @param live_hosts Hosts believed to serve, at least 1.
  void set_live_hosts(std::uint32_t live_hosts);

  /// @brief Asks to run a request; an admitted one must be released.
  /// @param now The time.
  /// @param customer The customer.
  /// @param allowance What its plan may use of the service.
  /// @return Whether the request may run.
  admission_decision admit(base::instant now,
                           const base::customer_id& customer,
                           const config::allowance& allowance);

  /// @brief Ends an admitted request.
  /// @param customer The customer.
  /// @param service The service.
  void release(const base::customer_id& customer, const base::service_id& service);

  /// @brief Learns from an attempt's end whether a service is short of capacity.
  /// @param service The service.
  /// @param saturated Whether the attempt met a queue or was refused.
  void record_saturation(const base::service_id& service, bool saturated) {
    fairness_.record_saturation(service, saturated);
  }

  /// @brief Whether peers are to be told of this host's demand.
  /// @param now The time.
  /// @return True once an interval after the demand before.
  bool report_due(base::instant now) const { return shares_.report_due(now); }

  /// @brief Measures demand since the call before, and forgets unused accounts.
  /// @param now The time.
  /// @return What peers are to be told; nothing when it has no entries.
  demand_report make_demand_report(base::instant now);

  /// @brief Takes in a peer's demand.
  /// @param now The time.
  /// @param host The peer.
  /// @param report Its report.
  void on_peer_report(base::instant now, const base::host_id& host, const demand_report& report);

  /// @brief Requests in progress of a customer at a service.
  /// @param customer The customer.
  /// @param service The service.
  /// @return Their number.
  std::uint32_t in_flight(const base::customer_id& customer, const base::service_id& service) const;

  /// @brief Accounts kept.
  /// @return Their number.
  std::size_t account_count() const { return accounts_.size(); }

 private:
  struct account {
    account_key key = 0;
    double tokens = 0;
    base::instant refilled_at{};
    base::instant used_at{};
    std::uint32_t in_flight = 0;
    double rate_per_second = 0;          ///< Of the allowance last seen.
    double max_concurrent = 1;           ///< Of the allowance last seen.
    std::uint32_t arrivals = 0;          ///< Since the demand before.
    std::uint32_t peak_concurrency = 0;  ///< Most requests in progress and refused, since then.
    double demand = 0;                   ///< Smoothed, as a part of the allowance.
  };
  using account_id = std::pair<base::customer_id, base::service_id>;

  account& find_or_add(base::instant now,
                       const base::customer_id& customer,
                       const config::allowance& allowance);
  static void refill(base::instant now, account& entry, double rate, double burst);
  static void update_demand(account& entry, double seconds);

  limiter_options options_;
  allowance_splitter shares_;
  fair_share fairness_;
  base::instant measured_at_{};
  std::map<account_id, account> accounts_;
};

}  // namespace catkintack::limits
