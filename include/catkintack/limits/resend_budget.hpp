/// @file
/// Budget that limits how often hosts send a request more than once.
#pragma once

#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief Limit for all hosts together: in any window, a service receives at most `ratio` times its
/// requests plus `slack` resends, that is, sends beyond the first of each request.
struct resend_budget_options {
  double ratio = 0.2;  ///< Resends per request.
  double slack = 50;   ///< Additional resends of all hosts per window.
  base::duration window = std::chrono::seconds(10);
};

/// @brief One token bucket per service. Not thread-safe.
///
/// Buckets start empty, so that a host cannot exceed the limit by restarting, which loses the
/// record of its sends. The capacity of a bucket is one host's share of the slack, so that all
/// hosts together stay within the limit in any window.
class resend_budget {
 public:
  explicit resend_budget(resend_budget_options options = {}) : options_(options) {}

  /// @brief Counts a request, which adds `ratio` tokens, less a margin, to the bucket of its
  /// service.
  void on_request(const base::service_id& service, base::instant now);
  /// @brief Whether a token is left for one resend.
  bool can_spend(const base::service_id& service, base::instant now);
  /// @brief Takes a token for one resend.
  /// @return Whether the request may be sent again.
  bool try_spend(const base::service_id& service, base::instant now);

 private:
  struct bucket {
    double tokens = 0;
    base::instant refilled_at;
  };

  double host_slack_share() const;
  bucket& refilled_bucket(const base::service_id& service, base::instant now);

  resend_budget_options options_;
  std::map<base::service_id, bucket> buckets_;
};

}  // namespace catkintack::limits
