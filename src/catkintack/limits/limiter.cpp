#include "catkintack/limits/limiter.hpp"

#include <algorithm>
#include <cmath>

namespace catkintack::limits {
namespace {

constexpr base::duration concurrency_retry_after = std::chrono::seconds(1);
constexpr base::duration shortage_retry_after = std::chrono::seconds(1);
constexpr base::duration longest_retry_after = std::chrono::seconds(60);
/// Weight of the newest interval in the smoothed demand.
constexpr double newest_weight = 0.5;

base::duration time_to_next_token(double tokens, double rate_per_second) {
  if (rate_per_second <= 0) {
    return longest_retry_after;
  }
  const double seconds =
      std::min((1 - tokens) / rate_per_second, base::to_seconds(longest_retry_after));
  return std::chrono::ceil<base::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

limiter::limiter(limiter_options options)
    : options_(options), shares_(options.shares), fairness_(options.fairness) {}

void limiter::set_live_hosts(std::uint32_t live_hosts) { shares_.set_live_hosts(live_hosts); }

limiter::account& limiter::find_or_add(base::instant now,
                                       const base::customer_id& customer,
                                       const config::allowance& allowance) {
  const auto [found, fresh] = accounts_.try_emplace({customer, allowance.service});
  account& entry = found->second;
  if (fresh) {
    entry.key = make_account_key(customer, allowance.service);
    entry.tokens = allowance.burst;
    entry.filled_at = now;
  }
  entry.rate_per_second = allowance.rate_per_second;
  entry.max_concurrent = allowance.max_concurrent;
  entry.used_at = now;
  return entry;
}

void limiter::refill(base::instant now, account& entry, double rate, double burst) {
  const double added = base::to_seconds(now - entry.filled_at) * rate;
  entry.tokens = std::min(burst, entry.tokens + added);
  entry.filled_at = now;
}

admission limiter::admit(base::instant now,
                         const base::customer_id& customer,
                         const config::allowance& allowance) {
  account& entry = find_or_add(now, customer, allowance);
  const double share = shares_.share(now, entry.key);
  const double rate = allowance.rate_per_second * share;
  refill(now, entry, rate, std::max(1.0, allowance.burst * share));
  ++entry.arrivals;
  const double concurrent = std::max(1.0, std::floor(allowance.max_concurrent * share));
  entry.most_wanted = std::max(entry.most_wanted, entry.running) + 1;
  if (entry.running >= concurrent) {
    return {false, concurrency_retry_after, refusal::allowance};
  }
  entry.most_wanted -= 1;
  if (entry.tokens < 1) {
    return {false, time_to_next_token(entry.tokens, rate), refusal::allowance};
  }
  if (!fairness_.may_start(now, allowance.service, customer)) {
    return {false, shortage_retry_after, refusal::fair_share};
  }
  fairness_.started(allowance.service, customer);
  entry.tokens -= 1;
  ++entry.running;
  entry.most_wanted = std::max(entry.most_wanted, entry.running);
  return {true, {}, refusal::none};
}

void limiter::release(const base::customer_id& customer, const base::service_id& service) {
  const auto found = accounts_.find({customer, service});
  if (found != accounts_.end() && found->second.running > 0) {
    --found->second.running;
    fairness_.ended(service, customer);
  }
}

void limiter::measure(account& entry, double seconds) {
  const double by_rate = entry.rate_per_second > 0 && seconds > 0
                             ? entry.arrivals / (entry.rate_per_second * seconds)
                             : 0;
  const double by_concurrency = entry.most_wanted / std::max(1.0, entry.max_concurrent);
  const double newest = std::max(by_rate, by_concurrency);
  entry.demand += newest_weight * (newest - entry.demand);
  entry.arrivals = 0;
  entry.most_wanted = entry.running;
}

demand_report limiter::demand(base::instant now) {
  std::erase_if(accounts_, [&](const auto& kept) {
    return kept.second.running == 0 && now - kept.second.used_at > options_.idle_limit;
  });
  fairness_.forget_idle(now);
  const double seconds = base::to_seconds(now - measured_at_);
  measured_at_ = now;
  std::vector<measured_demand> measured;
  for (auto& [name, entry] : accounts_) {
    measure(entry, seconds);
    measured.push_back({entry.key, entry.demand});
  }
  return shares_.publish(now, measured);
}

void limiter::on_peer_demand(base::instant now,
                             const base::host_id& host,
                             const demand_report& report) {
  shares_.on_peer(now, host, report);
}

std::uint32_t limiter::running(const base::customer_id& customer,
                               const base::service_id& service) const {
  const auto found = accounts_.find({customer, service});
  return found == accounts_.end() ? 0 : found->second.running;
}

}  // namespace catkintack::limits
