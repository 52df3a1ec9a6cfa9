/// @file
/// This host's share of the fleet's budget of repeated sends.
#pragma once

#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief The fleet's bound: in any window a service gets at most `ratio` times its requests plus
/// `slack` sends beyond the first of each request.
struct resend_budget_options {
  double ratio = 0.2;                                ///< Repeats per request.
  double slack = 50;                                 ///< Repeats of all hosts in one window.
  base::duration window = std::chrono::seconds(10);  ///< Length of the window.
};

/// @brief Token buckets by service. Not thread-safe.
///
/// A bucket starts empty, so that a host which restarts forgets no send it made. What it can hold
/// is a share of the slack for one host, so all hosts together stay within the bound in any window.
class resend_budget {
 public:
  explicit resend_budget(resend_budget_options options = {}) : options_(options) {}

  /// @brief Tells how many hosts share the slack; the most that were known counts.
  void set_host_count(std::size_t hosts);
  /// @brief Counts a request for a service.
  void on_request(const base::service_id& service, base::instant now);
  /// @brief Spends one repeat.
  /// @return Whether it may be sent.
  bool try_spend(const base::service_id& service, base::instant now);

 private:
  struct bucket {
    double tokens = 0;
    base::instant refilled_at;
  };

  double host_slack_share() const;
  bucket& refilled_bucket(const base::service_id& service, base::instant now);

  resend_budget_options options_;
  double hosts_ = 150;  ///< Until hosts are known: the largest deployment served today.
  std::map<base::service_id, bucket> buckets_;
};

}  // namespace catkintack::limits
