#include "catkintack/serving/upstream_selection.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/choice/probe_selection.hpp"
#include "catkintack/choice/search_area.hpp"
#include "catkintack/choice/upstream_subset.hpp"
#include "catkintack/serving/call_residence.hpp"
#include "catkintack/serving/open_connection.hpp"
#include "catkintack/serving/probe_round.hpp"
#include "catkintack/serving/stop_check.hpp"

namespace catkintack::serving {
namespace {

using choice::candidate;
using choice::search_area;
using choice::search_place;
using choice::search_scope;
using choice::upstream_distance;

// Request and response of a probe, with headers.
constexpr std::uint64_t bytes_per_probe = 350;
// Least Retry-After of a call without any allowed upstream. A change in the registry takes effect
// within about this time.
constexpr base::duration retry_after_no_upstream = std::chrono::seconds(1);

upstream_distance distance_to(const routing::upstream_record& record,
                              const serving_options& options) {
  if (record.region != options.region) {
    return upstream_distance::other_region;
  }
  return record.failure_domain == options.failure_domain ? upstream_distance::same_failure_domain
                                                         : upstream_distance::same_region;
}

/// @brief Whether upstreams of a service may serve a call.
struct allowed_upstreams {
  bool any = false;
  bool in_own_region = false;
};

allowed_upstreams find_allowed_upstreams(const traffic_state& state,
                                         const base::service_id& service,
                                         const choice::residence& allowed) {
  allowed_upstreams result;
  for (const auto* const endpoint : state.upstreams.available(service, state.clock())) {
    const base::region_id& region = endpoint->listed.record.region;
    const bool is_allowed = allowed.allows(region);
    result.any = result.any || is_allowed;
    result.in_own_region = result.in_own_region || (is_allowed && region == state.options.region);
  }
  return result;
}

/// @brief Lists candidates, still without readings, of one part of the search area.
std::vector<candidate> list_candidates(const traffic_state& state,
                                       const base::service_id& service,
                                       const std::set<base::upstream_id>& tried,
                                       const search_area& area,
                                       search_place place) {
  std::vector<candidate> result;
  const base::instant now = state.clock();
  for (const auto* const endpoint : state.upstreams.available(service, now)) {
    const routing::upstream_record& record = endpoint->listed.record;
    const upstream_distance where = distance_to(record, state.options);
    if (area.place_of(record.region) != place || tried.contains(record.id) ||
        state.pauses.end_of(record.id, now) || !state.within_limit(record.id)) {
      continue;
    }
    result.push_back({.id = record.id,
                      .distance = where,
                      .warming_up = now < endpoint->warm_up_until,
                      .permitted = state.is_cold(record.id),
                      .outlier = state.outlier_detector.is_outlier(record.id, now) ||
                                 endpoint->expires_at != base::instant::max()});
  }
  return result;
}

// Calls from the whole region help to reach an upstream that joined in a failure domain without
// hosts in time, which is 4 s.
constexpr base::duration joining_time = std::chrono::seconds(4);

/// @brief Requests permits for the upstreams of a service that named a limit or are cold.
/// @param whole_region False for those in this host's own failure domain, and cold ones that joined
/// recently, only; otherwise for all near ones.
void request_permits(const traffic_state& state,
                     const base::service_id& service,
                     const search_area& area,
                     bool whole_region) {
  const bool none_limited = state.upstream_limits.empty() && state.warm_up_rate(service) <= 0;
  if (none_limited || !state.request_permit) {
    return;
  }
  const base::instant now = state.clock();
  // A seed may learn of a change while it answers its own request, so the list is made first.
  std::vector<base::upstream_id> limited;
  for (const auto* const endpoint : state.upstreams.available(service, now)) {
    const routing::upstream_record& record = endpoint->listed.record;
    const upstream_distance where = distance_to(record, state.options);
    if (!state.within_limit(record.id) && !state.pauses.end_of(record.id, now) &&
        area.place_of(record.region) == search_place::near &&
        (whole_region || where == upstream_distance::same_failure_domain ||
         (state.is_cold(record.id) && now - endpoint->first_seen < joining_time))) {
      limited.push_back(record.id);
    }
  }
  std::ranges::for_each(limited, state.request_permit);
}

/// @brief Returns the time until the first upstream of a service that is paused or at its limit may
/// accept requests again, or nothing if there is none. Excluded upstreams do not count.
std::optional<base::duration> time_until_resumed(const traffic_state& state,
                                                 const base::service_id& service,
                                                 const search_area& area) {
  const base::instant now = state.clock();
  std::optional<base::duration> result;
  for (const auto* const endpoint : state.upstreams.available(service, now)) {
    if (area.place_of(endpoint->listed.record.region) == search_place::excluded) {
      continue;
    }
    if (const auto end = state.pauses.end_of(endpoint->listed.record.id, now)) {
      result = std::min(result.value_or(*end - now), *end - now);
    } else if (!state.within_limit(endpoint->listed.record.id)) {
      const base::duration wait = state.permits.next_chance(endpoint->listed.record.id, now) - now;
      result = std::min(result.value_or(wait), wait);
    }
  }
  return result;
}

// Retry-After of calls that are refused because of an evacuation, which operators end.
constexpr base::duration evacuation_retry_after = std::chrono::seconds(5);

/// @brief Whether no upstream of a service can accept work and at least one is evacuated.
bool is_evacuated(const traffic_state& state, const base::service_id& service) {
  const base::instant now = state.clock();
  if (!state.upstreams.available(service, now).empty()) {
    return false;
  }
  return std::ranges::any_of(state.upstreams.entries(), [&](const directory::endpoint& entry) {
    return entry.record.service == service &&
           state.upstreams.is_evacuated(entry.record.failure_domain, now);
  });
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
    text += one.permitted ? "*" : "";
  }
  return text;
}

choice::call_requirements build_call_requirements(traffic_state& state,
                                                  const call& served,
                                                  const base::service_id& service,
                                                  base::instant started_at) {
  const std::string route = routes::place_of(*served.route);
  const base::instant now = state.clock();
  choice::call_requirements need;
  need.service_time = state.route_statistics.service_time(
      route, served.route->latency_objective / state.options.unknown_work_divisor);
  need.service_time.usual_slowdown = state.service_statistics.usual_slowdown(service);
  need.objective_left =
      served.route->latency_objective - served.elapsed_before_arrival - (now - served.arrived);
  need.deadline_left = served.deadline - now;
  need.held_for = now - started_at;
  need.is_retry = served.elapsed_before_arrival > base::duration::zero();
  const double share = need.is_retry ? state.options.returned_hold_share : state.options.hold_share;
  need.max_hold =
      std::chrono::duration_cast<base::duration>(served.route->latency_objective * share);
  // During a planned stop, a call is refused rather than held, so that its caller turns to another
  // host at once.
  need.may_wait_for_slot = state.stop == stop_stage::running && state.wait_probes.can_spend();
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
        allowed_(residence_of(served)),
        area_(state.options.region, allowed_, true),
        // Only a probe shows that an upstream returned to cold.
        probes_lack_load_(state.probes_without_load.contains(service_) &&
                          state.warm_up_rate(service_) <= 0),
        health_path_(served.table->profile(service_).health_path) {}

  /// @brief Probes this region, and the other regions if the decision asks for it. For a call
  /// without an allowed upstream in this region, the allowed regions count as this one.
  asio::awaitable<void> run() {
    round_ = std::make_shared<probe_round>(state_, executor_);
    local_candidates_.clear();
    if (is_evacuated(state_, service_)) {
      result.decision = {};
      result.decision.action = choice::placement_action::refuse;
      result.decision.pause = evacuation_retry_after;
      result.refusal = "not run: all upstreams are evacuated\n";
      co_return;
    }
    if (!find_area()) {
      refuse_without_upstream();
      co_return;
    }
    request_permits(state_, service_, area_, false);
    auto in_region = list_candidates(state_, service_, tried_, area_, search_place::near);
    auto region =
        choice::select_subset(std::move(in_region), state_.options.host, state_.options.neighbours);
    const bool split = !region.secondary.empty();
    // Nothing wider follows if the search began with all allowed regions.
    const search_scope whole =
        area_.own_region_replaced() ? search_scope::everywhere : search_scope::region;
    co_await probe_and_place(std::move(region.primary), split ? search_scope::subset : whole);
    if (split && should_widen()) {
      co_await probe_and_place(std::move(region.secondary), whole);
    }
    co_await try_new_permits();
    if (should_widen()) {
      auto remote = list_candidates(state_, service_, tried_, area_, search_place::far);
      co_await probe_and_place(std::move(remote), search_scope::everywhere);
    }
    if (result.decision.action != choice::placement_action::send) {
      request_permits(state_, service_, area_, true);
    }
    const auto resumed_in = time_until_resumed(state_, service_, area_);
    if (result.decision.action != choice::placement_action::send && resumed_in &&
        (probed_candidates().empty() || only_cold_ones_answered())) {
      result.decision = choice::place_paused_call(*resumed_in, requirements(),
                                                  state_.options.placement, state_.random);
    }
  }

  /// @brief Obtains a connection to the selected upstream; leaves it null if the upstream cannot be
  /// reached.
  asio::awaitable<void> connect_to_selected() {
    result.upstream = result.decision.target.value_or(base::upstream_id());
    const auto chosen = std::ranges::find(probed_candidates(), result.upstream, &candidate::id);
    result.reading = chosen->probe.value_or(choice::probe_result{});
    if (area_.own_region_replaced()) {
      state_.metrics.add("sends_without_allowed_upstream_in_own_region_total");
    } else if (chosen->distance == upstream_distance::other_region) {
      state_.remote_bytes.spend(
          state_.route_statistics.exchanged_bytes(routes::place_of(*served_.route)),
          state_.clock());
    }
    result.connection = round_->take_connection(result.upstream);
    round_->finish();
    if (!result.connection || !result.connection->reusable()) {
      result.connection = co_await connect_to(state_, executor_, result.upstream);
    }
    if (result.connection &&
        (!is_allowed(result.upstream) || !state_.accepts_requests(result.upstream) ||
         !state_.take_permit(result.upstream))) {
      // The upstream announced a pause, a limit or its departure while the connection was being
      // opened, was listed in another region, or another call used up the permit.
      state_.pool.release(std::move(result.connection), state_.clock());
    }
  }

  /// @brief Returns the connections of the probes to the pool, at the end or before a pause.
  void end_round() {
    round_->finish();
    waiting_ = true;
  }

  upstream_selection result;

 private:
  /// @brief Determines where upstreams are searched.
  /// @return False if the call is restricted and no upstream may serve it.
  bool find_area() {
    if (!allowed_.restricted()) {
      return true;
    }
    const allowed_upstreams found = find_allowed_upstreams(state_, service_, allowed_);
    area_ = search_area(state_.options.region, allowed_, found.in_own_region);
    return found.any;
  }

  void refuse_without_upstream() {
    const auto jitter = static_cast<std::uint64_t>(retry_after_no_upstream.count());
    result.decision = {};
    result.decision.action = choice::placement_action::refuse;
    result.decision.pause =
        retry_after_no_upstream +
        base::duration(static_cast<base::duration::rep>(state_.random() % (jitter + 1)));
    result.refusal = "not run: no upstream is known in a region that may serve it\n";
    state_.metrics.add("residence_refusals_total{reason=\"no_upstream\"}");
    state_.log.write(
        "no_allowed_upstream",
        {{"request", served_.id}, {"service", service_.value()}, {"regions", describe(allowed_)}});
  }

  bool is_allowed(const base::upstream_id& id) const {
    const auto* const endpoint = state_.upstreams.find(id);
    return !allowed_.restricted() ||
           (endpoint != nullptr && allowed_.allows(endpoint->listed.record.region));
  }

  choice::call_requirements requirements() const {
    choice::call_requirements need =
        build_call_requirements(state_, served_, service_, started_at_);
    // Probes of other regions are billed, and are not repeated while the call waits.
    need.may_leave_region = need.may_leave_region && !searched_far_;
    return need;
  }

  const std::vector<candidate>& probed_candidates() const {
    return probes_lack_load_ ? local_candidates_ : round_->candidates();
  }

  bool should_widen() const {
    return result.decision.action == choice::placement_action::widen_search && !served_.caller_left;
  }

  /// @brief Probes cold upstreams for which a permit arrived during the search, so that the call
  /// that requested it can use it. At a low call rate, most permits would lapse before the next
  /// call.
  asio::awaitable<void> try_new_permits() {
    if (state_.warm_up_rate(service_) <= 0 || served_.caller_left) {
      co_return;
    }
    auto arrived = list_candidates(state_, service_, tried_, area_, search_place::near);
    std::erase_if(arrived, [&](const candidate& one) {
      return !one.permitted || std::ranges::find(probed_candidates(), one.id, &candidate::id) !=
                                   probed_candidates().end();
    });
    if (!arrived.empty()) {
      co_await probe_and_place(std::move(arrived), area_.own_region_replaced()
                                                       ? search_scope::everywhere
                                                       : search_scope::region);
    }
  }

  /// @brief Whether no candidate can be chosen and at least one is held back because it is cold.
  bool only_cold_ones_answered() const {
    const auto& probed = probed_candidates();
    return std::ranges::none_of(probed,
                                [](const candidate& one) { return one.probe.has_value(); }) &&
           std::ranges::any_of(probed, [&](const candidate& one) {
             return state_.is_cold(one.id) && !state_.within_limit(one.id);
           });
  }

  asio::awaitable<void> probe_and_place(std::vector<candidate> candidates, search_scope scope) {
    const bool far = scope == search_scope::everywhere && !area_.own_region_replaced();
    if (probes_lack_load_) {
      set_local_readings(state_, candidates);
      local_candidates_.insert(local_candidates_.end(), candidates.begin(), candidates.end());
    } else {
      ++result.rounds;
      const std::size_t count = far || area_.own_region_replaced()
                                    ? state_.options.remote_probes_per_call
                                    : state_.options.probes_per_call;
      auto planned = choice::select_probe_targets(std::move(candidates), count, state_.random);
      if (far) {
        searched_far_ = true;
        state_.remote_bytes.spend(planned.size() * bytes_per_probe, state_.clock());
      }
      if (waiting_) {
        state_.wait_probes.spend(planned.size());
      }
      co_await round_->run(std::move(planned), health_path_);
    }
    choice::placement_options placement = state_.options.placement;
    placement.queue_new_calls = placement.queue_new_calls || share_.may_queue();
    result.decision =
        choice::place_call(probed_candidates(), scope, requirements(), placement, state_.random);
    result.considered = format_candidates(probed_candidates());
  }

  traffic_state& state_;
  asio::any_io_executor executor_;
  call& served_;
  share_ticket& share_;
  base::service_id service_;
  const std::set<base::upstream_id>& tried_;
  base::instant started_at_;
  choice::residence allowed_;
  search_area area_;
  /// Whether the service's probes carry no load, so that this host's own counts are used instead.
  bool probes_lack_load_;
  std::string health_path_;
  bool waiting_ = false;       ///< The call was held after an earlier search.
  bool searched_far_ = false;  ///< Other regions were probed for this call.
  std::shared_ptr<probe_round> round_;
  std::vector<candidate> local_candidates_;
};

}  // namespace

asio::awaitable<upstream_selection> select_upstream(traffic_state& state,
                                                    asio::any_io_executor executor,
                                                    call& served,
                                                    share_ticket& share,
                                                    base::service_id service,
                                                    const std::set<base::upstream_id>& tried,
                                                    std::function<bool()> is_obsolete) {
  const auto is_over = [&] { return served.caller_left || (is_obsolete && is_obsolete()); };
  upstream_search search(state, executor, served, share, std::move(service), tried);
  asio::steady_timer pause(executor);
  for (;;) {
    if (const auto refusal = share.refusal()) {
      search.result.decision = *refusal;
      co_return std::move(search.result);
    }
    if (!ends_before_stop(state, served, base::duration::zero())) {
      search.result.decision = {};
      co_return std::move(search.result);
    }
    co_await search.run();
    share.record_reading(search.result.decision);
    if (search.result.decision.action == choice::placement_action::send) {
      co_await search.connect_to_selected();
      if (search.result.connection || is_over()) {
        co_return std::move(search.result);
      }
      continue;
    }
    search.end_round();
    if (search.result.decision.action == choice::placement_action::refuse || is_over()) {
      co_return std::move(search.result);
    }
    pause.expires_after(search.result.decision.pause);
    co_await pause.async_wait(no_throw);
    if (is_over()) {
      co_return std::move(search.result);
    }
  }
}

}  // namespace catkintack::serving
