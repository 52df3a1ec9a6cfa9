#include "catkintack/limits/fair_share.hpp"

#include <algorithm>

namespace catkintack::limits {

fair_share::fair_share(fair_share_options options) : options_(options) {}

void fair_share::on_load(const base::service_id& service, bool was_short) {
  double& part = services_[service].short_part;
  part += options_.newest_weight * ((was_short ? 1.0 : 0.0) - part);
}

bool fair_share::may_start(base::instant now,
                           const base::service_id& service,
                           const base::customer_id& customer) {
  service_state& state = services_[service];
  state.customers[customer].asked_at = now;
  if (state.short_part < options_.short_part) {
    return true;
  }
  forget_idle(now, state);
  const auto active = static_cast<std::uint32_t>(state.customers.size());
  const std::uint32_t share = std::max(1U, state.running / active);
  return active == 1 || state.customers[customer].running < share;
}

void fair_share::forget_idle(base::instant now) {
  for (auto& [service, state] : services_) {
    forget_idle(now, state);
  }
}

void fair_share::forget_idle(base::instant now, service_state& state) const {
  std::erase_if(state.customers, [&](const auto& entry) {
    return entry.second.running == 0 && now - entry.second.asked_at > options_.active_limit;
  });
}

void fair_share::started(const base::service_id& service, const base::customer_id& customer) {
  service_state& state = services_[service];
  ++state.running;
  ++state.customers[customer].running;
}

void fair_share::ended(const base::service_id& service, const base::customer_id& customer) {
  service_state& state = services_[service];
  use& own = state.customers[customer];
  if (own.running > 0) {
    --own.running;
    --state.running;
  }
}

}  // namespace catkintack::limits
