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
  const base::duration passed = std::max(now - refilled_at_, base::duration{});
  refilled_at_ = std::max(refilled_at_, now);
  // The share at the end of the span is the smaller one when the list has grown old since.
  const double part = host_share(now);
  const double seconds = base::to_seconds(passed);
  const double kept = base::to_seconds(options_.burst);
  const auto fill = [&](double tokens, double per_second) {
    return std::min(tokens + part * per_second * seconds, part * per_second * kept);
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
