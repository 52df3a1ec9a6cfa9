#include "catkintack/limits/limiter.hpp"

#include <algorithm>
#include <cmath>

namespace catkintack::limits {
namespace {

constexpr base::duration concurrency_retry_after = std::chrono::seconds(1);
constexpr base::duration longest_retry_after = std::chrono::seconds(60);

base::duration time_to_next_token(double tokens, double rate_per_second) {
  if (rate_per_second <= 0) {
    return longest_retry_after;
  }
  const double seconds = (1 - tokens) / rate_per_second;
  const auto wait = std::chrono::duration<double>(seconds);
  return std::min(longest_retry_after, std::chrono::ceil<base::duration>(wait));
}

}  // namespace

void limiter::set_live_hosts(std::uint32_t live_hosts) { live_hosts_ = std::max(live_hosts, 1U); }

admission limiter::admit(base::instant now,
                         const base::customer_id& customer,
                         const config::allowance& allowance) {
  const double share = 1.0 / live_hosts_;
  const double rate = allowance.rate_per_second * share;
  const double burst = std::max(1.0, allowance.burst * share);
  const double concurrent = std::max(1.0, std::floor(allowance.max_concurrent * share));
  const auto [entry, fresh] = buckets_.try_emplace({customer, allowance.service});
  bucket& account = entry->second;
  if (fresh) {
    account.tokens = burst;
    account.filled_at = now;
  }
  const double refill = base::to_seconds(now - account.filled_at) * rate;
  account.tokens = std::min(burst, account.tokens + refill);
  account.filled_at = now;
  if (account.running >= concurrent) {
    return {false, concurrency_retry_after};
  }
  if (account.tokens < 1) {
    return {false, time_to_next_token(account.tokens, rate)};
  }
  account.tokens -= 1;
  ++account.running;
  return {true, {}};
}

void limiter::release(const base::customer_id& customer, const base::service_id& service) {
  const auto found = buckets_.find({customer, service});
  if (found != buckets_.end() && found->second.running > 0) {
    --found->second.running;
  }
}

}  // namespace catkintack::limits
