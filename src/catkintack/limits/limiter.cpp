#include "catkintack/limits/limiter.hpp"

#include <algorithm>
#include <cmath>

namespace catkintack::limits {
namespace {

constexpr base::duration concurrency_retry_after = std::chrono::seconds(1);
constexpr base::duration saturation_retry_after = std::chrono::seconds(1);
constexpr base::duration max_retry_after = std::chrono::seconds(60);
/// Weight of the latest interval in the smoothed demand.
constexpr double smoothing_factor = 0.5;

base::duration time_to_next_token(double tokens, double rate_per_second) {
  if (rate_per_second <= 0) {
    return max_retry_after;
  }
  const double seconds =
      std::min((1 - tokens) / rate_per_second, base::to_seconds(max_retry_after));
  return std::chrono::ceil<base::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

limiter::limiter(limiter_options options)
    : options_(options), shares_(options.shares), fairness_(options.fairness) {}

void limiter::set_live_hosts(std::uint32_t live_hosts) { shares_.set_live_hosts(live_hosts); }

limiter::account& limiter::find_or_add(base::instant now,
                                       const base::customer_id& customer,
                                       const config::allowance& allowance) {
  const auto [found, inserted] = accounts_.try_emplace({customer, allowance.service});
  account& entry = found->second;
  if (inserted) {
    entry.key = make_account_key(customer, allowance.service);
    entry.tokens = allowance.burst;
    entry.refilled_at = now;
  }
  entry.rate_per_second = allowance.rate_per_second;
  entry.max_concurrent = allowance.max_concurrent;
  entry.used_at = now;
  return entry;
}

void limiter::refill(base::instant now, account& entry, double rate, double burst) {
  const double added = base::to_seconds(now - entry.refilled_at) * rate;
  entry.tokens = std::min(burst, entry.tokens + added);
  entry.refilled_at = now;
}

admission_decision limiter::admit(base::instant now,
                                  const base::customer_id& customer,
                                  const config::allowance& allowance) {
  account& entry = find_or_add(now, customer, allowance);
  const double share = shares_.share(now, entry.key);
  const double rate = allowance.rate_per_second * share;
  refill(now, entry, rate, std::max(1.0, allowance.burst * share));
  ++entry.arrivals;
  const double concurrent = std::max(1.0, std::floor(allowance.max_concurrent * share));
  entry.peak_concurrency = std::max(entry.peak_concurrency, entry.in_flight) + 1;
  if (entry.in_flight >= concurrent) {
    return {false, concurrency_retry_after, refusal_reason::allowance};
  }
  entry.peak_concurrency -= 1;
  if (entry.tokens < 1) {
    return {false, time_to_next_token(entry.tokens, rate), refusal_reason::allowance};
  }
  if (!fairness_.may_start(now, allowance.service, customer)) {
    return {false, saturation_retry_after, refusal_reason::fair_share};
  }
  fairness_.started(allowance.service, customer);
  entry.tokens -= 1;
  ++entry.in_flight;
  entry.peak_concurrency = std::max(entry.peak_concurrency, entry.in_flight);
  return {true, {}, refusal_reason::none};
}

void limiter::release(const base::customer_id& customer, const base::service_id& service) {
  const auto found = accounts_.find({customer, service});
  if (found != accounts_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
    fairness_.ended(service, customer);
  }
}

void limiter::update_demand(account& entry, double seconds) {
  const double by_rate = entry.rate_per_second > 0 && seconds > 0
                             ? entry.arrivals / (entry.rate_per_second * seconds)
                             : 0;
  const double by_concurrency = entry.peak_concurrency / std::max(1.0, entry.max_concurrent);
  const double latest = std::max(by_rate, by_concurrency);
  entry.demand += smoothing_factor * (latest - entry.demand);
  entry.arrivals = 0;
  entry.peak_concurrency = entry.in_flight;
}

demand_report limiter::make_demand_report(base::instant now) {
  std::erase_if(accounts_, [&](const auto& kept) {
    return kept.second.in_flight == 0 && now - kept.second.used_at > options_.account_idle_timeout;
  });
  fairness_.evict_idle(now);
  const double seconds = base::to_seconds(now - measured_at_);
  measured_at_ = now;
  std::vector<measured_demand> measured;
  for (auto& [name, entry] : accounts_) {
    update_demand(entry, seconds);
    measured.push_back({entry.key, entry.demand});
  }
  return shares_.make_report(now, measured);
}

void limiter::on_peer_report(base::instant now,
                             const base::host_id& host,
                             const demand_report& report) {
  shares_.on_peer_report(now, host, report);
}

std::uint32_t limiter::in_flight(const base::customer_id& customer,
                                 const base::service_id& service) const {
  const auto found = accounts_.find({customer, service});
  return found == accounts_.end() ? 0 : found->second.in_flight;
}

}  // namespace catkintack::limits
