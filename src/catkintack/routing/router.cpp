#include "catkintack/routing/router.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::routing {
namespace {

bool contains(const std::vector<base::upstream_id>& ids, const base::upstream_id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

router::router(router_options options, base::random_hook random)
    : options_(std::move(options)),
      random_(std::move(random)),
      remote_tokens_(options_.remote_burst) {}

void router::update_upstreams(base::instant now, std::vector<upstream_record> upstreams) {
  std::map<base::upstream_id, upstream_state> states;
  for (upstream_record& record : upstreams) {
    const base::upstream_id id = record.id;
    const auto existing = states_.find(id);
    if (existing == states_.end()) {
      const bool cold = by_service_.contains(record.service);
      states.insert_or_assign(id, upstream_state(now, std::move(record), cold));
      continue;
    }
    existing->second.update(std::move(record));
    states.insert_or_assign(id, std::move(existing->second));
  }
  states_ = std::move(states);
  for (auto& [id, service] : by_service_) {
    service.upstreams.clear();
  }
  for (auto& [id, state] : states_) {
    by_service_[state.record().service].upstreams.push_back(&state);
  }
}

bool router::has_service(const base::service_id& service) const {
  return by_service_.contains(service);
}

const upstream_record* router::choose(base::instant now,
                                      const base::service_id& service,
                                      const std::vector<base::upstream_id>& exclude,
                                      choice_scope scope) {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return nullptr;
  }
  remote_tokens_ = std::min(remote_tokens_ + options_.max_remote_share, options_.remote_burst);
  find_candidates(now, found->second, exclude);
  upstream_state* best = best_of(now, found->second, local_);
  const bool last_resort = scope == choice_scope::any_region && best == nullptr && !local_full_;
  if (last_resort && !remote_.empty() && take_remote_token()) {
    best = best_of(now, found->second, remote_);
  }
  if (last_resort && best == nullptr) {
    best = best_of(now, found->second, ejected_);
  }
  if (best == nullptr) {
    return nullptr;
  }
  best->on_sent(now, best->excess(now, options_, mean_other_load_));
  return &best->record();
}

void router::find_candidates(base::instant now,
                             const service_state& service,
                             const std::vector<base::upstream_id>& exclude) {
  local_.clear();
  ejected_.clear();
  remote_.clear();
  local_full_ = false;
  const bool use_ejected = may_use_ejected(now, service);
  for (upstream_state* const state : service.upstreams) {
    if (state->leaving(now, options_) || contains(exclude, state->record().id)) {
      continue;
    }
    const bool ejected = state->ejected(now);
    if (full(*state)) {
      local_full_ = local_full_ || (is_local(*state) && (!ejected || use_ejected));
      continue;
    }
    if (!is_local(*state)) {
      if (!ejected) {
        remote_.push_back(state);
      }
    } else if (ejected && !use_ejected) {
      ejected_.push_back(state);
    } else {
      local_.push_back(state);
    }
  }
}

bool router::at_capacity(base::instant now,
                         const base::service_id& service,
                         const std::vector<base::upstream_id>& exclude) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return false;
  }
  const candidate_list& all = found->second.upstreams;
  return std::any_of(all.begin(), all.end(), [&](const upstream_state* state) {
    return full(*state) && !state->leaving(now, options_) && !contains(exclude, state->record().id);
  });
}

latency_tracker router::latency(const base::service_id& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? latency_tracker() : found->second.latency;
}

std::uint32_t router::max_in_flight(base::instant now, const base::service_id& service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return 0;
  }
  std::uint32_t sum = 0;
  for (const upstream_state* const state : found->second.upstreams) {
    if (is_local(*state) && !state->leaving(now, options_) && !state->ejected(now)) {
      sum += state->record().slots + options_.waiting_per_upstream;
    }
  }
  return sum;
}

bool router::full(const upstream_state& state) const {
  return state.in_flight() >= state.record().slots + options_.waiting_per_upstream;
}

bool router::is_local(const upstream_state& state) const {
  return options_.region.empty() || state.record().region == options_.region;
}

bool router::may_use_ejected(base::instant now, const service_state& service) const {
  std::size_t all = 0;
  std::size_t ejected = 0;
  bool other_region = false;
  for (const upstream_state* const state : service.upstreams) {
    if (!is_local(*state)) {
      other_region = other_region || !state->ejected(now);
    } else if (!state->leaving(now, options_)) {
      ++all;
      ejected += state->ejected(now) ? 1 : 0;
    }
  }
  const bool too_many =
      static_cast<double>(ejected) > options_.max_ejected_share * static_cast<double>(all);
  const bool region_lost = ejected == all && other_region;
  return too_many && !region_lost;
}

bool router::take_remote_token() {
  if (remote_tokens_ < 1) {
    return false;
  }
  remote_tokens_ -= 1;
  return true;
}

upstream_state* router::best_of(base::instant now,
                                const service_state& service,
                                const candidate_list& candidates) {
  if (candidates.empty()) {
    return nullptr;
  }
  service_figures figures;
  figures.report_confidence = service.reports.confidence(options_.full_correlation);
  figures.mean_latency = service.latency.mean_seconds();
  for (const upstream_state* const state : candidates) {
    figures.mean_other_load += state->other_load() / static_cast<double>(candidates.size());
  }
  mean_other_load_ = figures.mean_other_load;
  const std::size_t start = random_() % candidates.size();
  upstream_state* best = nullptr;
  double best_score = 0;
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    upstream_state* const candidate = candidates[(start + step) % candidates.size()];
    const double score = candidate->score(now, options_, figures, noise());
    if (best == nullptr || score < best_score) {
      best = candidate;
      best_score = score;
    }
  }
  return best;
}

double router::noise() {
  constexpr double half = 9223372036854775808.0;  // 2^63
  return static_cast<double>(random_()) / half - 1;
}

void router::on_attempt_ended(base::instant now,
                              const base::upstream_id& upstream,
                              const attempt_observation& observation) {
  const auto found = states_.find(upstream);
  if (found == states_.end()) {
    return;
  }
  upstream_state& state = found->second;
  const double excess = state.on_ended(now, observation, options_);
  if (observation.result == attempt_result::answered && !observation.server_error) {
    service_state& service = by_service_[state.record().service];
    service.latency.add(observation.elapsed, options_.hedge_quantile);
    const double ratio = base::to_seconds(observation.elapsed) / service.latency.mean_seconds();
    service.reports.add(excess, ratio, options_.correlation_weight);
  }
}

const upstream_record* router::choose_probe(base::instant now) {
  upstream_state* oldest = nullptr;
  for (auto& [id, state] : states_) {
    const bool eligible = is_local(state) && !state.record().leaving && state.in_flight() == 0 &&
                          now - state.last_contact() >= options_.probe_after;
    if (eligible && (oldest == nullptr || state.last_contact() < oldest->last_contact())) {
      oldest = &state;
    }
  }
  if (oldest == nullptr) {
    return nullptr;
  }
  oldest->on_probed(now);
  return &oldest->record();
}

void router::on_probe_report(base::instant now,
                             const base::upstream_id& upstream,
                             const load_report& report) {
  const auto found = states_.find(upstream);
  if (found != states_.end()) {
    found->second.on_report(now, report);
  }
}

std::uint32_t router::in_flight(const base::upstream_id& upstream) const {
  const auto found = states_.find(upstream);
  return found == states_.end() ? 0 : found->second.in_flight();
}

}  // namespace catkintack::routing
