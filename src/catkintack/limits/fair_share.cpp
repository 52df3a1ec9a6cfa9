#include "catkintack/limits/fair_share.hpp"

#include <algorithm>

namespace catkintack::limits {

fair_share::fair_share(fair_share_options options) : options_(options) {}

void fair_share::record_saturation(const base::service_id& service, bool saturated, double weight) {
  double& ratio = services_[service].saturated_ratio;
  ratio += weight * ((saturated ? 1.0 : 0.0) - ratio);
}

bool fair_share::may_start(base::instant now,
                           const base::service_id& service,
                           const base::customer_id& customer) {
  service_state& state = services_[service];
  state.customers[customer].last_request_at = now;
  if (state.saturated_ratio < options_.saturation_threshold) {
    return true;
  }
  evict_idle(now, state);
  const auto active = static_cast<std::uint32_t>(state.customers.size());
  const std::uint32_t share = std::max(1U, state.in_flight / active);
  return active == 1 || state.customers[customer].in_flight < share;
}

double fair_share::saturated_ratio(const base::service_id& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.saturated_ratio;
}

std::uint32_t fair_share::in_flight(const base::service_id& service,
                                    const base::customer_id& customer) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  const auto own = found->second.customers.find(customer);
  return own == found->second.customers.end() ? 0 : own->second.in_flight;
}

void fair_share::evict_idle(base::instant now) {
  for (auto& [service, state] : services_) {
    evict_idle(now, state);
  }
}

void fair_share::evict_idle(base::instant now, service_state& state) const {
  std::erase_if(state.customers, [&](const auto& entry) {
    return entry.second.in_flight == 0 &&
           now - entry.second.last_request_at > options_.customer_idle_timeout;
  });
}

void fair_share::started(const base::service_id& service, const base::customer_id& customer) {
  service_state& state = services_[service];
  ++state.in_flight;
  ++state.customers[customer].in_flight;
}

void fair_share::ended(const base::service_id& service, const base::customer_id& customer) {
  service_state& state = services_[service];
  customer_state& own = state.customers[customer];
  if (own.in_flight > 0) {
    --own.in_flight;
    --state.in_flight;
  }
}

}  // namespace catkintack::limits
