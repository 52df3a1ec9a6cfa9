#include "catkintack/limits/resend_budget.hpp"

#include <algorithm>

namespace catkintack::limits {
namespace {

// Fraction of the ratio that is granted. The rest covers requests that fall into another window
// than their resends.
constexpr double ratio_utilization = 0.8;
// The slack is divided into two equal parts: the capacity of a bucket, and its refill per window.
constexpr double slack_parts = 2.0;
// Number of hosts that share a small slack. A larger slack is granted to a larger fleet, with at
// least one resend for each host.
constexpr double min_hosts = 150;

}  // namespace

double resend_budget::host_slack_share() const {
  return options_.slack / std::max(options_.slack, min_hosts) / slack_parts;
}

resend_budget::bucket& resend_budget::refilled_bucket(const base::service_id& service,
                                                      base::instant now) {
  const auto [found, inserted] = buckets_.try_emplace(service, bucket{0, now});
  bucket& result = found->second;
  const double windows =
      base::to_seconds(now - result.refilled_at) / base::to_seconds(options_.window);
  // A bucket must be able to hold one whole send. With a share below 1 the refill would then exceed
  // the limit, so there is none.
  const double inflow = host_slack_share() < 1 ? 0 : windows * host_slack_share();
  result.tokens = std::min(result.tokens + inflow, std::max(host_slack_share(), 1.0));
  result.refilled_at = now;
  return result;
}

void resend_budget::on_request(const base::service_id& service, base::instant now) {
  bucket& found = refilled_bucket(service, now);
  found.tokens = std::min(found.tokens + options_.ratio * ratio_utilization,
                          std::max(host_slack_share(), 1.0));
}

bool resend_budget::can_spend(const base::service_id& service, base::instant now) {
  return refilled_bucket(service, now).tokens >= 1;
}

bool resend_budget::try_spend(const base::service_id& service, base::instant now) {
  bucket& found = refilled_bucket(service, now);
  if (found.tokens < 1) {
    return false;
  }
  found.tokens -= 1;
  return true;
}

}  // namespace catkintack::limits
