/// @file
/// Admission control of requests within the customers' allowances.
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

/// @brief Reason why a request is refused.
enum class refusal_reason {
  none,        ///< The request is admitted.
  allowance,   ///< The customer has used up its allowance.
  fair_share,  ///< The service is saturated and the customer holds its fair share.
};

/// @brief Result of an admission check.
struct admission_decision {
  bool admitted = false;
  base::duration retry_after{};  ///< How long a refused caller should wait before a retry.
  refusal_reason reason = refusal_reason::none;
};

/// @brief Parameters of the exchange of demand, of fair sharing and of account expiry.
struct limiter_options {
  allowance_splitter_options shares;
  fair_share_options fairness;
  /// Above burst / rate of any plan.
  base::duration account_idle_timeout = std::chrono::seconds(120);
};

/// @brief Enforces this host's share of each customer's allowance. Not thread-safe.
class limiter {
 public:
  explicit limiter(limiter_options options = {});

  /// @brief Sets the number of hosts that share the allowances.
  /// @param live_hosts Hosts believed to be serving; values below 1 count as 1.
  void set_live_hosts(std::uint32_t live_hosts);

  /// @brief Decides whether a request may run. An admitted request must be released.
  /// @param allowance What the customer's plan grants for the service.
  admission_decision admit(base::instant now,
                           const base::customer_id& customer,
                           const config::allowance& allowance);

  /// @brief Ends an admitted request.
  void release(const base::customer_id& customer, const base::service_id& service);

  /// @brief Updates the saturation estimate of a service when an attempt ends.
  /// @param saturated Whether the attempt was queued or refused.
  void record_saturation(const base::service_id& service, bool saturated) {
    fairness_.record_saturation(service, saturated);
  }

  /// @brief Returns whether a report interval has passed since the previous demand report.
  bool report_due(base::instant now) const { return shares_.report_due(now); }

  /// @brief Measures the demand since the previous call and removes unused accounts.
  /// @return The report for all peers. A report without entries need not be sent.
  demand_report make_demand_report(base::instant now);

  /// @brief Records a demand report of a peer.
  void on_peer_report(base::instant now, const base::host_id& host, const demand_report& report);

  /// @brief Returns the number of requests that a customer has in flight at a service.
  std::uint32_t in_flight(const base::customer_id& customer, const base::service_id& service) const;

  /// @brief Returns the number of accounts in memory.
  std::size_t account_count() const { return accounts_.size(); }

 private:
  struct account {
    account_key key = 0;
    double tokens = 0;
    base::instant refilled_at{};
    base::instant used_at{};
    std::uint32_t in_flight = 0;
    double rate_per_second = 0;          ///< From the allowance of the latest request.
    double max_concurrent = 1;           ///< From the allowance of the latest request.
    std::uint32_t arrivals = 0;          ///< Requests since the previous report.
    std::uint32_t peak_concurrency = 0;  ///< Highest number in flight plus refused since then.
    double demand = 0;                   ///< Smoothed, as a fraction of the allowance.
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
