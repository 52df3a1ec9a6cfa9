#include "catkintack/serving/upstream_selection.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/choice/probe_selection.hpp"
#include "catkintack/choice/upstream_subset.hpp"
#include "catkintack/serving/open_connection.hpp"
#include "catkintack/serving/probe_round.hpp"

namespace catkintack::serving {
namespace {

using choice::candidate;
using choice::search_scope;
using choice::upstream_distance;

// Request and response of a probe, with headers.
constexpr std::uint64_t bytes_per_probe = 350;

upstream_distance distance_to(const routing::upstream_record& record,
                              const serving_options& options) {
  if (record.region != options.region) {
    return upstream_distance::other_region;
  }
  return record.failure_domain == options.failure_domain ? upstream_distance::same_failure_domain
                                                         : upstream_distance::same_region;
}

/// @brief Lists candidates, still without readings, of this region or of the other regions.
std::vector<candidate> list_candidates(const traffic_state& state,
                                       const base::service_id& service,
                                       const std::set<base::upstream_id>& tried,
                                       bool other_regions) {
  std::vector<candidate> result;
  const base::instant now = state.clock();
  for (const auto* const endpoint : state.upstreams.available(service, now)) {
    const routing::upstream_record& record = endpoint->listed.record;
    const upstream_distance where = distance_to(record, state.options);
    if ((where == upstream_distance::other_region) != other_regions || tried.contains(record.id) ||
        state.pauses.end_of(record.id, now) || !state.within_limit(record.id)) {
      continue;
    }
    result.push_back({.id = record.id,
                      .distance = where,
                      .warming_up = now < endpoint->warm_up_until,
                      .outlier = state.outlier_detector.is_outlier(record.id, now) ||
                                 endpoint->expires_at != base::instant::max()});
  }
  return result;
}

/// @brief Requests permits for the upstreams of a service that named a limit.
/// @param whole_region False for those in this host's own failure domain only.
void request_permits(const traffic_state& state,
                     const base::service_id& service,
                     bool whole_region) {
  if (state.upstream_limits.empty() || !state.request_permit) {
    return;
  }
  const base::instant now = state.clock();
  // A seed may learn of a change while it answers its own request, so the list is made first.
  std::vector<base::upstream_id> limited;
  for (const auto* const endpoint : state.upstreams.available(service, now)) {
    const routing::upstream_record& record = endpoint->listed.record;
    const upstream_distance where = distance_to(record, state.options);
    if (!state.within_limit(record.id) && !state.pauses.end_of(record.id, now) &&
        (where == upstream_distance::same_failure_domain ||
         (whole_region && where == upstream_distance::same_region))) {
      limited.push_back(record.id);
    }
  }
  std::ranges::for_each(limited, state.request_permit);
}

/// @brief Returns the time until the first upstream of a service that is paused or at its limit may
/// accept requests again, or nothing if there is none.
std::optional<base::duration> time_until_resumed(const traffic_state& state,
                                                 const base::service_id& service) {
  const base::instant now = state.clock();
  std::optional<base::duration> result;
  for (const auto* const endpoint : state.upstreams.available(service, now)) {
    if (const auto end = state.pauses.end_of(endpoint->listed.record.id, now)) {
      result = std::min(result.value_or(*end - now), *end - now);
    } else if (!state.within_limit(endpoint->listed.record.id)) {
      const base::duration wait = state.permits.next_chance(endpoint->listed.record.id, now) - now;
      result = std::min(result.value_or(wait), wait);
    }
  }
  return result;
}

std::string format_candidates(const std::vector<candidate>& candidates) {
  std::string text;
  for (const candidate& one : candidates) {
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

choice::call_requirements build_call_requirements(traffic_state& state,
                                                  const call& served,
                                                  base::instant started_at) {
  const std::string& route = served.route->name.value();
  const base::instant now = state.clock();
  choice::call_requirements need;
  need.service_time = state.route_statistics.service_time(
      route, served.route->latency_objective / state.options.unknown_work_divisor);
  need.objective_left =
      served.route->latency_objective - served.elapsed_before_arrival - (now - served.arrived);
  need.deadline_left = served.deadline - now;
  need.held_for = now - started_at;
  need.is_retry = served.elapsed_before_arrival > base::duration::zero();
  const double share = need.is_retry ? state.options.returned_hold_share : state.options.hold_share;
  need.max_hold =
      std::chrono::duration_cast<base::duration>(served.route->latency_objective * share);
  need.remote_bytes = state.route_statistics.exchanged_bytes(route);
  need.may_leave_region = state.remote_bytes.can_spend(need.remote_bytes, now);
  return need;
}

/// @brief Sets readings from this host's own calls in flight, for services whose probes carry no
/// load.
void set_local_readings(const traffic_state& state, std::vector<candidate>& candidates) {
  for (candidate& one : candidates) {
    const auto* const endpoint = state.upstreams.find(one.id);
    one.probe = choice::probe_result{.running = state.in_flight.count(one.id),
                                     .queued = 0,
                                     .slots = endpoint->listed.record.slots,
                                     .slowdown = 1.0};
  }
}

asio::awaitable<std::unique_ptr<upstream_connection>> connect_to(traffic_state& state,
                                                                 asio::any_io_executor executor,
                                                                 base::upstream_id id) {
  if (auto idle = state.pool.take(id, state.clock())) {
    co_return std::move(idle);
  }
  const auto* const endpoint = state.upstreams.find(id);
  if (endpoint == nullptr) {
    co_return nullptr;
  }
  auto connection = co_await open_connection(state, executor, endpoint->listed.record.where, id,
                                             state.options.connect_timeout);
  if (!connection) {
    state.outlier_detector.on_failure(id, state.clock());
  }
  co_return std::move(connection);
}

/// @brief Searches for the upstream of one call.
class upstream_search {
 public:
  upstream_search(traffic_state& state,
                  asio::any_io_executor executor,
                  call& served,
                  share_ticket& share,
                  base::service_id service,
                  const std::set<base::upstream_id>& tried)
      : state_(state),
        executor_(std::move(executor)),
        served_(served),
        share_(share),
        service_(std::move(service)),
        tried_(tried),
        started_at_(state.clock()),
        probes_lack_load_(state.probes_without_load.contains(service_)),
        health_path_(served.table->profile(service_).health_path) {}

  /// @brief Probes this region, and the other regions if the decision asks for it.
  asio::awaitable<void> run() {
    round_ = std::make_shared<probe_round>(state_, executor_);
    local_candidates_.clear();
    request_permits(state_, service_, false);
    auto in_region = list_candidates(state_, service_, tried_, false);
    auto region =
        choice::select_subset(std::move(in_region), state_.options.host, state_.options.neighbours);
    const bool split = !region.secondary.empty();
    co_await probe_and_place(std::move(region.primary),
                             split ? search_scope::subset : search_scope::region);
    if (split && should_widen()) {
      co_await probe_and_place(std::move(region.secondary), search_scope::region);
    }
    if (should_widen()) {
      auto remote = list_candidates(state_, service_, tried_, true);
      co_await probe_and_place(std::move(remote), search_scope::everywhere);
    }
    if (result.decision.action != choice::placement_action::send) {
      request_permits(state_, service_, true);
    }
    const auto resumed_in = time_until_resumed(state_, service_);
    if (result.decision.action != choice::placement_action::send && resumed_in &&
        probed_candidates().empty()) {
      result.decision = choice::place_paused_call(
          *resumed_in, build_call_requirements(state_, served_, started_at_),
          state_.options.placement, state_.random);
    }
  }

  /// @brief Obtains a connection to the selected upstream; leaves it null if the upstream cannot be
  /// reached.
  asio::awaitable<void> connect_to_selected() {
    result.upstream = result.decision.target.value_or(base::upstream_id());
    const auto chosen = std::ranges::find(probed_candidates(), result.upstream, &candidate::id);
    result.reading = chosen->probe.value_or(choice::probe_result{});
    if (chosen->distance == upstream_distance::other_region) {
      state_.remote_bytes.spend(
          state_.route_statistics.exchanged_bytes(served_.route->name.value()), state_.clock());
    }
    result.connection = round_->take_connection(result.upstream);
    round_->finish();
    if (!result.connection || !result.connection->reusable()) {
      result.connection = co_await connect_to(state_, executor_, result.upstream);
    }
    if (result.connection &&
        (!state_.accepts_requests(result.upstream) || !state_.take_permit(result.upstream))) {
      // The upstream announced a pause, a limit or its departure while the connection was being
      // opened, or another call used up the permit.
      state_.pool.release(std::move(result.connection), state_.clock());
    }
  }

  /// @brief Returns the connections of the probes to the pool.
  void end_round() { round_->finish(); }

  upstream_selection result;

 private:
  const std::vector<candidate>& probed_candidates() const {
    return probes_lack_load_ ? local_candidates_ : round_->candidates();
  }

  bool should_widen() const {
    return result.decision.action == choice::placement_action::widen_search && !served_.caller_left;
  }

  asio::awaitable<void> probe_and_place(std::vector<candidate> candidates, search_scope scope) {
    const bool other_regions = scope == search_scope::everywhere;
    if (probes_lack_load_) {
      set_local_readings(state_, candidates);
      local_candidates_.insert(local_candidates_.end(), candidates.begin(), candidates.end());
    } else {
      ++result.rounds;
      const std::size_t count =
          other_regions ? state_.options.remote_probes_per_call : state_.options.probes_per_call;
      auto planned = choice::select_probe_targets(std::move(candidates), count, state_.random);
      if (other_regions) {
        state_.remote_bytes.spend(planned.size() * bytes_per_probe, state_.clock());
      }
      co_await round_->run(std::move(planned), health_path_);
    }
    choice::placement_options placement = state_.options.placement;
    placement.queue_new_calls = placement.queue_new_calls || share_.may_queue();
    result.decision = choice::place_call(probed_candidates(), scope,
                                         build_call_requirements(state_, served_, started_at_),
                                         placement, state_.random);
    result.considered = format_candidates(probed_candidates());
  }

  traffic_state& state_;
  asio::any_io_executor executor_;
  call& served_;
  share_ticket& share_;
  base::service_id service_;
  const std::set<base::upstream_id>& tried_;
  base::instant started_at_;
  /// Whether the service's probes carry no load, so that this host's own counts are used instead.
  bool probes_lack_load_;
  std::string health_path_;
  std::shared_ptr<probe_round> round_;
  std::vector<candidate> local_candidates_;
};

}  // namespace

asio::awaitable<upstream_selection> select_upstream(traffic_state& state,
                                                    asio::any_io_executor executor,
                                                    call& served,
                                                    share_ticket& share,
                                                    base::service_id service,
                                                    const std::set<base::upstream_id>& tried) {
  upstream_search search(state, executor, served, share, std::move(service), tried);
  asio::steady_timer pause(executor);
  for (;;) {
    if (const auto refusal = share.refusal()) {
      search.result.decision = *refusal;
      co_return std::move(search.result);
    }
    co_await search.run();
    share.record_reading(search.result.decision);
    if (search.result.decision.action == choice::placement_action::send) {
      co_await search.connect_to_selected();
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
