#include "catkintack/serving/upstream_selection.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/choice/probe_plan.hpp"
#include "catkintack/serving/probe_round.hpp"

namespace catkintack::serving {
namespace {

using choice::candidate;
using choice::distance;

distance distance_to(const routing::upstream_record& record, const serving_options& options) {
  if (record.region != options.region) {
    return distance::other_region;
  }
  return record.failure_domain == options.failure_domain ? distance::same_failure_domain
                                                         : distance::same_region;
}

/// @brief Candidates without readings, of this region or of the others.
std::vector<candidate> gather(const traffic_state& state,
                              const base::service_id& service,
                              const std::set<base::upstream_id>& tried,
                              bool other_regions) {
  std::vector<candidate> result;
  const base::instant now = state.clock();
  for (const auto* const known : state.upstreams.usable(service)) {
    const routing::upstream_record& record = known->listed.record;
    const distance where = distance_to(record, state.options);
    if ((where == distance::other_region) != other_regions || tried.contains(record.id)) {
      continue;
    }
    result.push_back({.id = record.id,
                      .where = where,
                      .cold = now < known->warm_until,
                      .suspect = state.suspicion.suspects(record.id, now) ||
                                 known->keep_until != base::instant::max()});
  }
  return result;
}

std::string describe(const std::vector<candidate>& found) {
  std::string text;
  for (const candidate& one : found) {
    text += (text.empty() ? "" : ",") + one.id.value() + ":";
    if (one.reading) {
      text += std::to_string(one.reading->running) + "+" + std::to_string(one.reading->queued) +
              "/" + std::to_string(one.reading->slots) + "x" +
              std::to_string(static_cast<int>(one.reading->slowness * 100));
    } else {
      text += "none";
    }
    text += one.suspect ? "!" : "";
  }
  return text;
}

choice::call_need need_of(const traffic_state& state, const call& served, base::instant began) {
  const std::string& route = served.route->name.value();
  const base::instant now = state.clock();
  choice::call_need need;
  need.usual_work = state.experience.usual_work(route, state.options.unknown_work);
  need.objective_left = served.route->objective - served.caller_spent - (now - served.arrived);
  need.deadline_left = served.deadline - now;
  need.held = now - began;
  need.may_hold = served.route->objective / state.options.hold_divisor;
  need.returned = served.caller_spent > base::duration::zero();
  need.remote_bytes = state.experience.exchanged_bytes(route);
  return need;
}

/// @brief Chooses by this host's own open calls where probes tell nothing.
void read_own_counts(const traffic_state& state, std::vector<candidate>& found) {
  for (candidate& one : found) {
    const auto* const known = state.upstreams.find(one.id);
    one.reading = choice::probe_reading{.running = state.sends.open(one.id),
                                        .queued = 0,
                                        .slots = known->listed.record.slots,
                                        .slowness = 1.0};
  }
}

asio::awaitable<std::unique_ptr<upstream_connection>> connection_to(traffic_state& state,
                                                                    asio::any_io_executor executor,
                                                                    base::upstream_id id) {
  if (auto idle = state.pool.take(id, state.clock())) {
    co_return std::move(idle);
  }
  const auto* const known = state.upstreams.find(id);
  if (known == nullptr) {
    co_return nullptr;
  }
  state.metrics.add("upstream_connections_total");
  auto [made, error] = co_await connect_upstream(executor, known->listed.record.where, id,
                                                 state.options.connect_limit);
  if (!made) {
    state.suspicion.on_failure(id, state.clock());
  }
  co_return std::move(made);
}

}  // namespace

asio::awaitable<upstream_selection> select_upstream(traffic_state& state,
                                                    asio::any_io_executor executor,
                                                    call& served,
                                                    base::service_id service,
                                                    const std::set<base::upstream_id>& tried) {
  upstream_selection result;
  const base::instant began = state.clock();
  const bool blind = state.probes_without_load.contains(service);
  const std::string health_path = served.table->profile(service).health_path;
  asio::steady_timer pause(executor);
  for (;;) {
    const auto round = std::make_shared<probe_round>(state, executor);
    std::vector<candidate> own_counts;
    bool everywhere = false;
    do {
      auto candidates = gather(state, service, tried, everywhere);
      if (blind) {
        read_own_counts(state, candidates);
        own_counts.insert(own_counts.end(), candidates.begin(), candidates.end());
      } else {
        ++result.rounds;
        co_await round->run(
            choice::plan_probes(std::move(candidates), state.options.probes_per_call, state.random),
            health_path);
      }
      const auto& found = blind ? own_counts : round->found();
      result.decision = choice::place_call(found, everywhere, need_of(state, served, began),
                                           state.options.placement, state.random);
      result.considered = describe(found);
      everywhere = true;
    } while (result.decision.action == choice::placement_action::look_further &&
             !served.caller_left);
    if (result.decision.action == choice::placement_action::send) {
      result.upstream = *result.decision.target;
      const auto& found = blind ? own_counts : round->found();
      const auto chosen = std::ranges::find(found, result.upstream, &candidate::id);
      result.slowness = chosen->reading->slowness;
      result.connection = round->take(result.upstream);
      round->finish();
      if (!result.connection || !result.connection->quiet()) {
        result.connection = co_await connection_to(state, executor, result.upstream);
      }
      if (result.connection || served.caller_left) {
        co_return result;
      }
      continue;
    }
    round->finish();
    if (result.decision.action == choice::placement_action::refuse || served.caller_left) {
      co_return result;
    }
    pause.expires_after(result.decision.pause);
    co_await pause.async_wait(no_throw);
    if (served.caller_left) {
      co_return result;
    }
  }
}

}  // namespace catkintack::serving
