#include "catkintack/routing/router.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::routing {

router::router(router_options options, base::random_hook random)
    : options_(std::move(options)), random_(std::move(random)) {}

void router::update_upstreams(base::instant /*now*/, std::vector<upstream_record> upstreams) {
  std::map<base::upstream_id, upstream_state> states;
  for (upstream_record& record : upstreams) {
    upstream_state state;
    if (const auto known = states_.find(record.id); known != states_.end()) {
      state = known->second;
    }
    state.record = std::move(record);
    states.insert_or_assign(state.record.id, state);
  }
  states_ = std::move(states);
  by_service_.clear();
  for (auto& [id, state] : states_) {
    by_service_[state.record.service].push_back(&state);
  }
}

bool router::knows(const base::service_id& service) const { return by_service_.contains(service); }

const upstream_record* router::choose(base::instant /*now*/,
                                      const base::service_id& service,
                                      const std::vector<base::upstream_id>& exclude) {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return nullptr;
  }
  std::vector<upstream_state*> local;
  std::vector<upstream_state*> remote;
  for (upstream_state* state : found->second) {
    const bool tried = std::find(exclude.begin(), exclude.end(), state->record.id) != exclude.end();
    if (tried || state->record.leaving || state->reported_leaving) {
      continue;
    }
    (state->record.region == options_.region ? local : remote).push_back(state);
  }
  return choose_among(local.empty() ? remote : local);
}

const upstream_record* router::choose_among(const std::vector<upstream_state*>& candidates) {
  if (candidates.empty()) {
    return nullptr;
  }
  const std::size_t start = random_() % candidates.size();
  upstream_state* best = nullptr;
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    upstream_state* const candidate = candidates[(start + step) % candidates.size()];
    if (best == nullptr || candidate->in_flight < best->in_flight) {
      best = candidate;
    }
  }
  ++best->in_flight;
  return &best->record;
}

void router::on_attempt_ended(base::instant /*now*/,
                              const base::upstream_id& upstream,
                              const attempt_observation& observation) {
  const auto found = states_.find(upstream);
  if (found == states_.end()) {
    return;
  }
  upstream_state& state = found->second;
  if (state.in_flight > 0) {
    --state.in_flight;
  }
  if (observation.load) {
    state.reported_leaving = observation.load->leaving;
  }
}

std::uint32_t router::in_flight(const base::upstream_id& upstream) const {
  const auto found = states_.find(upstream);
  return found == states_.end() ? 0 : found->second.in_flight;
}

}  // namespace catkintack::routing
