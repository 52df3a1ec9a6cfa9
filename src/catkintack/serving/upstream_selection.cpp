#include "catkintack/serving/upstream_selection.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/choice/probe_selection.hpp"
#include "catkintack/choice/upstream_subset.hpp"
#include "catkintack/serving/probe_round.hpp"

namespace catkintack::serving {
namespace {

using choice::candidate;
using choice::search_scope;
using choice::upstream_distance;

// A probe and its answer, with their headers.
constexpr std::uint64_t probe_bytes = 350;

upstream_distance distance_to(const routing::upstream_record& record,
                              const serving_options& options) {
  if (record.region != options.region) {
    return upstream_distance::other_region;
  }
  return record.failure_domain == options.failure_domain ? upstream_distance::same_failure_domain
                                                         : upstream_distance::same_region;
}

/// @brief Candidates without readings, of this region or of the others.
std::vector<candidate> gather(const traffic_state& state,
                              const base::service_id& service,
                              const std::set<base::upstream_id>& tried,
                              bool other_regions) {
  std::vector<candidate> result;
  const base::instant now = state.clock();
  for (const auto* const known : state.upstreams.available(service, now)) {
    const routing::upstream_record& record = known->listed.record;
    const upstream_distance where = distance_to(record, state.options);
    if ((where == upstream_distance::other_region) != other_regions || tried.contains(record.id)) {
      continue;
    }
    result.push_back({.id = record.id,
                      .distance = where,
                      .warming_up = now < known->warm_up_until,
                      .outlier = state.suspicion.is_outlier(record.id, now) ||
                                 known->expires_at != base::instant::max()});
  }
  return result;
}

std::string describe(const std::vector<candidate>& found) {
  std::string text;
  for (const candidate& one : found) {
    text += (text.empty() ? "" : ",") + one.id.value() + ":";
    if (one.probe) {
      text += std::to_string(one.probe->running) + "+" + std::to_string(one.probe->queued) + "/" +
              std::to_string(one.probe->slots) + "x" +
              std::to_string(static_cast<int>(one.probe->slowdown * 100));
    } else {
      text += "none";
    }
    text += one.outlier ? "!" : "";
  }
  return text;
}

choice::call_requirements need_of(traffic_state& state, const call& served, base::instant began) {
  const std::string& route = served.route->name.value();
  const base::instant now = state.clock();
  choice::call_requirements need;
  need.service_time = state.experience.service_time(
      route, served.route->objective / state.options.unknown_work_divisor);
  need.objective_left = served.route->objective - served.caller_spent - (now - served.arrived);
  need.deadline_left = served.deadline - now;
  need.held_for = now - began;
  need.is_retry = served.caller_spent > base::duration::zero();
  const double share = need.is_retry ? state.options.returned_hold_share : state.options.hold_share;
  need.max_hold = std::chrono::duration_cast<base::duration>(served.route->objective * share);
  need.remote_bytes = state.experience.exchanged_bytes(route);
  need.may_leave_region = state.remote_bytes.fits(need.remote_bytes, now);
  return need;
}

/// @brief Chooses by this host's own open calls where probes tell nothing.
void read_own_counts(const traffic_state& state, std::vector<candidate>& found) {
  for (candidate& one : found) {
    const auto* const known = state.upstreams.find(one.id);
    one.probe = choice::probe_result{.running = state.sends.open(one.id),
                                     .queued = 0,
                                     .slots = known->listed.record.slots,
                                     .slowdown = 1.0};
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

/// @brief The search for one upstream.
class upstream_search {
 public:
  upstream_search(traffic_state& state,
                  asio::any_io_executor executor,
                  call& served,
                  base::service_id service,
                  const std::set<base::upstream_id>& tried)
      : state_(state),
        executor_(std::move(executor)),
        served_(served),
        service_(std::move(service)),
        tried_(tried),
        began_(state.clock()),
        blind_(state.probes_without_load.contains(service_)),
        health_path_(served.table->profile(service_).health_path) {}

  /// @brief Looks in the region, and in the others if the decision asks for it.
  asio::awaitable<void> look_around() {
    round_ = std::make_shared<probe_round>(state_, executor_);
    own_counts_.clear();
    auto in_region = gather(state_, service_, tried_, false);
    auto region =
        choice::select_subset(std::move(in_region), state_.options.host, state_.options.neighbours);
    const bool split = !region.secondary.empty();
    co_await look(std::move(region.primary), split ? search_scope::subset : search_scope::region);
    if (split && looks_further()) {
      co_await look(std::move(region.secondary), search_scope::region);
    }
    if (looks_further()) {
      auto remote = gather(state_, service_, tried_, true);
      co_await look(std::move(remote), search_scope::everywhere);
    }
  }

  /// @brief Gets a connection to the chosen upstream; none if it cannot be reached.
  asio::awaitable<void> connect_chosen() {
    result.upstream = result.decision.target.value_or(base::upstream_id());
    const auto chosen = std::ranges::find(found(), result.upstream, &candidate::id);
    result.reading = chosen->probe.value_or(choice::probe_result{});
    if (chosen->distance == upstream_distance::other_region) {
      state_.remote_bytes.spend(state_.experience.exchanged_bytes(served_.route->name.value()),
                                state_.clock());
    }
    result.connection = round_->take(result.upstream);
    round_->finish();
    if (!result.connection || !result.connection->quiet()) {
      result.connection = co_await connection_to(state_, executor_, result.upstream);
    }
  }

  /// @brief Gives the probes' connections back.
  void end_round() { round_->finish(); }

  upstream_selection result;

 private:
  const std::vector<candidate>& found() const { return blind_ ? own_counts_ : round_->found(); }

  bool looks_further() const {
    return result.decision.action == choice::placement_action::widen_search && !served_.caller_left;
  }

  asio::awaitable<void> look(std::vector<candidate> candidates, search_scope scope) {
    const bool other_regions = scope == search_scope::everywhere;
    if (blind_) {
      read_own_counts(state_, candidates);
      own_counts_.insert(own_counts_.end(), candidates.begin(), candidates.end());
    } else {
      ++result.rounds;
      const std::size_t count =
          other_regions ? state_.options.remote_probes_per_call : state_.options.probes_per_call;
      auto planned = choice::select_probe_targets(std::move(candidates), count, state_.random);
      if (other_regions) {
        state_.remote_bytes.spend(planned.size() * probe_bytes, state_.clock());
      }
      co_await round_->run(std::move(planned), health_path_);
    }
    result.decision = choice::place_call(found(), scope, need_of(state_, served_, began_),
                                         state_.options.placement, state_.random);
    result.considered = describe(found());
  }

  traffic_state& state_;
  asio::any_io_executor executor_;
  call& served_;
  base::service_id service_;
  const std::set<base::upstream_id>& tried_;
  base::instant began_;
  bool blind_;  ///< Probes of the service tell no load; this host's own counts must do.
  std::string health_path_;
  std::shared_ptr<probe_round> round_;
  std::vector<candidate> own_counts_;
};

}  // namespace

asio::awaitable<upstream_selection> select_upstream(traffic_state& state,
                                                    asio::any_io_executor executor,
                                                    call& served,
                                                    base::service_id service,
                                                    const std::set<base::upstream_id>& tried) {
  upstream_search search(state, executor, served, std::move(service), tried);
  asio::steady_timer pause(executor);
  for (;;) {
    co_await search.look_around();
    if (search.result.decision.action == choice::placement_action::send) {
      co_await search.connect_chosen();
      if (search.result.connection || served.caller_left) {
        co_return std::move(search.result);
      }
      continue;
    }
    search.end_round();
    if (search.result.decision.action == choice::placement_action::refuse || served.caller_left) {
      co_return std::move(search.result);
    }
    pause.expires_after(search.result.decision.pause);
    co_await pause.async_wait(no_throw);
    if (served.caller_left) {
      co_return std::move(search.result);
    }
  }
}

}  // namespace catkintack::serving
