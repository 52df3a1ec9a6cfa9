#include "catkintack/routing/probe_budget.hpp"

#include <algorithm>

namespace catkintack::routing {

probe_budget::probe_budget(probe_budget_options options, base::instant now)
    : options_(options), starts_at_(now + 2 * options.list_lag), refilled_at_(starts_at_) {}

void probe_budget::set_host_count(base::instant now, std::uint32_t listed, std::uint32_t live) {
  refill(now);
  list_read_at_ = now;
  hosts_ = std::max(listed, live);
}

double probe_budget::host_share(base::instant now) const {
  std::uint32_t hosts = std::max(hosts_, options_.min_hosts);
  if (list_read_at_ == base::instant::min() || now - list_read_at_ > options_.list_lag) {
    hosts = std::max(hosts, options_.assumed_hosts);
  }
  return 1.0 / std::max(hosts, 1U);
}

void probe_budget::refill(base::instant now) {
  const base::duration elapsed = std::max(now - refilled_at_, base::duration{});
  refilled_at_ = std::max(refilled_at_, now);
  // If the list went stale during the interval, the share at its end is the smaller one.
  const double share = host_share(now);
  const double seconds = base::to_seconds(elapsed);
  const double burst_seconds = base::to_seconds(options_.burst);
  const auto fill = [&](double tokens, double per_second) {
    return std::min(tokens + share * per_second * seconds, share * per_second * burst_seconds);
  };
  tokens_.bytes = fill(tokens_.bytes, options_.bytes_per_second);
  tokens_.upstream_ms = fill(tokens_.upstream_ms, options_.upstream_ms_per_second);
}

bool probe_budget::can_spend(base::instant now, const probe_cost& cost) {
  if (now < starts_at_) {
    return false;
  }
  refill(now);
  return cost.bytes <= tokens_.bytes && cost.upstream_ms <= tokens_.upstream_ms;
}

bool probe_budget::try_spend(base::instant now, const probe_cost& cost) {
  if (!can_spend(now, cost)) {
    return false;
  }
  tokens_.bytes -= cost.bytes;
  tokens_.upstream_ms -= cost.upstream_ms;
  spent_.bytes += cost.bytes;
  spent_.upstream_ms += cost.upstream_ms;
  return true;
}

}  // namespace catkintack::routing
