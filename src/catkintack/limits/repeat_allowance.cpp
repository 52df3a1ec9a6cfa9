#include "catkintack/limits/repeat_allowance.hpp"

#include <algorithm>

namespace catkintack::limits {
namespace {

// Of the ratio; the rest covers requests that are counted in another window than their repeats.
constexpr double ratio_in_use = 0.8;
// The slack is spent in two equal parts: what a bucket holds, and what flows in during a window.
constexpr double parts_of_slack = 2.0;

}  // namespace

void repeat_allowance::set_hosts(std::size_t hosts) {
  hosts_ = std::max(hosts_, static_cast<double>(hosts));
}

double repeat_allowance::share() const { return options_.slack / hosts_ / parts_of_slack; }

repeat_allowance::bucket& repeat_allowance::filled_bucket(const base::service_id& service,
                                                          base::instant now) {
  const auto [found, added] = buckets_.try_emplace(service, bucket{0, now});
  bucket& result = found->second;
  const double windows = base::to_seconds(now - result.filled) / base::to_seconds(options_.window);
  // A share below one send would flow in too fast once a bucket must hold a whole send.
  const double inflow = share() < 1 ? 0 : windows * share();
  result.tokens = std::min(result.tokens + inflow, std::max(share(), 1.0));
  result.filled = now;
  return result;
}

void repeat_allowance::on_request(const base::service_id& service, base::instant now) {
  bucket& found = filled_bucket(service, now);
  found.tokens = std::min(found.tokens + options_.ratio * ratio_in_use, std::max(share(), 1.0));
}

bool repeat_allowance::take(const base::service_id& service, base::instant now) {
  bucket& found = filled_bucket(service, now);
  if (found.tokens < 1) {
    return false;
  }
  found.tokens -= 1;
  return true;
}

}  // namespace catkintack::limits
