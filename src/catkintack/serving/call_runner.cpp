#include "catkintack/serving/call_runner.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <set>
#include <utility>

#include "catkintack/serving/crash_check.hpp"
#include "catkintack/serving/relay_call.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/stop_check.hpp"
#include "catkintack/serving/task.hpp"
#include "catkintack/serving/upstream_selection.hpp"

namespace catkintack::serving {
namespace {

/// @brief Progress of a call across its attempts.
struct call_progress {
  std::uint32_t attempts = 0;
  bool may_have_run = false;  ///< An attempt may have run the call.
  std::set<base::upstream_id> tried;
};

base::service_id pick_service(const routes::route& route, const base::random_hook& random) {
  std::uint64_t total = 0;
  for (const routes::weighted_service& part : route.services) {
    total += part.weight;
  }
  std::uint64_t draw = random() % total;
  for (const routes::weighted_service& part : route.services) {
    if (draw < part.weight) {
      return part.service;
    }
    draw -= part.weight;
  }
  return route.services.back().service;
}

local_response make_local_response(const traffic_state& state,
                                   const call& served,
                                   unsigned status,
                                   std::string body,
                                   base::duration retry_after = {}) {
  return {.status = status,
          .body = std::move(body),
          .retry_after = retry_after,
          .request_id_header = state.options.protocol.request_id,
          .request_id = served.id};
}

/// @brief The final result of a request that crashed several upstreams.
call_result refuse_quarantined(const traffic_state& state,
                               const call& served,
                               const call_progress& progress,
                               call_diagnostics diagnostics) {
  diagnostics.quarantined = true;
  call_result result;
  result.diagnostics = diagnostics;
  result.local =
      progress.may_have_run
          ? make_local_response(state, served, status::bad_gateway,
                                "no whole answer: the upstreams that ran this request crashed\n")
          : make_local_response(state, served, status::unavailable,
                                "not run: this request crashed several upstreams\n",
                                state.options.quarantine_time);
  return result;
}

/// @brief The final result when no further attempt is made.
call_result give_up(const traffic_state& state,
                    const call& served,
                    const call_progress& progress,
                    base::duration retry_after,
                    const call_diagnostics& diagnostics,
                    std::string reason = {}) {
  call_result result;
  result.diagnostics = diagnostics;
  if (served.caller_left) {
    return result;
  }
  if (progress.may_have_run) {
    result.local = make_local_response(state, served, status::bad_gateway,
                                       "no whole answer from an upstream\n");
  } else {
    if (reason.empty()) {
      reason = "not run: no upstream can serve it now\n";
    }
    result.local =
        make_local_response(state, served, status::unavailable, std::move(reason), retry_after);
  }
  return result;
}

/// @brief The final result of a call that could outlast the stop of this host.
call_result refuse_for_stop(const traffic_state& state,
                            const call& served,
                            const call_progress& progress,
                            const call_diagnostics& diagnostics) {
  call_result result = give_up(state, served, progress, state.options.placement.min_retry_after,
                               diagnostics, std::string(refused_for_stop));
  if (served.relayed && result.local && !progress.may_have_run) {
    // The host that relayed the call tries another one.
    result.local->status = status::misdirected;
  }
  return result;
}

void log_attempt(traffic_state& state,
                 const call& served,
                 const upstream_selection& selection,
                 const exchange_result& attempt,
                 base::duration elapsed) {
  if (attempt.outcome == exchange_outcome::answered) {
    return;
  }
  state.log.write("attempt_failed", {{"request", served.id},
                                     {"fingerprint", served.fingerprint.value()},
                                     {"upstream", selection.upstream.value()},
                                     {"outcome", std::string(to_text(attempt.outcome))},
                                     {"why", attempt.detail},
                                     {"took_us", elapsed.count()},
                                     {"considered", selection.considered}});
}

/// @brief Updates the load and failure statistics with the outcome of an attempt.
void record_outcome(traffic_state& state,
                    const call& served,
                    const upstream_selection& selection,
                    const exchange_result& attempt,
                    base::duration elapsed) {
  switch (attempt.outcome) {
    case exchange_outcome::answered:
      state.outlier_detector.on_success(selection.upstream);
      if (!attempt.body_parser) {
        on_request_answered(state, served.fingerprint);
        state.route_statistics.on_response(served.route->name.value(), elapsed, selection.reading,
                                           attempt.sent_bytes + attempt.body.size());
      }
      return;
    case exchange_outcome::caller_left:
      return;
    case exchange_outcome::failed:
      on_request_answered(state, served.fingerprint);
      state.outlier_detector.on_failure(selection.upstream, state.clock());
      return;
    case exchange_outcome::not_run:
    case exchange_outcome::may_have_run:
    case exchange_outcome::timed_out:
      state.outlier_detector.on_failure(selection.upstream, state.clock());
      return;
  }
}

/// @brief Whether a further attempt is possible, apart from the resend budget.
bool may_try_again(const traffic_state& state, const call& served, const call_progress& progress) {
  return served.can_be_sent() && !served.caller_left &&
         progress.attempts < served.route->max_attempts && state.clock() < served.deadline;
}

bool may_retry(traffic_state& state,
               const call& served,
               const call_progress& progress,
               const exchange_result& attempt,
               const base::service_id& service) {
  const bool safe = served.repeatable() || attempt.outcome == exchange_outcome::not_run;
  return safe && may_try_again(state, served, progress) &&
         state.repeats.try_spend(service, state.clock());
}

/// @brief Closes the connection of an attempt whose upstream stays silent, so that the call can be
/// sent elsewhere while it may still be answered in time.
///
/// An overloaded upstream may answer neither a call that it cannot queue nor anything after it on
/// the same connection. Only repeatable calls move on: another one may be running.
class silence_watchdog {
 public:
  silence_watchdog(traffic_state& state,
                   const asio::any_io_executor& executor,
                   const std::shared_ptr<call>& served,
                   const call_progress& progress,
                   const base::service_id& service,
                   base::duration expected)
      : timer_(executor) {
    if (!served->repeatable()) {
      return;
    }
    constexpr int tolerated_estimates = 3;
    timer_.expires_after(std::max({served->route->latency_objective, expected * tolerated_estimates,
                                   (served->deadline - state.clock()) / 2}));
    timer_.async_wait([&state, served, progress, service, expected](const error_code& error) {
      // During a planned stop, a call that may be running is not given up for an uncertain retry.
      if (error || served->response_started || state.stop != stop_stage::running) {
        return;
      }
      const base::instant now = state.clock();
      if (may_try_again(state, *served, progress) && served->deadline - now > expected &&
          state.repeats.can_spend(service, now)) {
        state.log.write("attempt_abandoned", {{"request", served->id},
                                              {"why", "no answer from the upstream"},
                                              {"expected_us", expected.count()}});
        state.metrics.add("attempts_abandoned_total");
        for (upstream_connection* const silent : served->active_connections) {
          served->give_up(*silent);
        }
      }
    });
  }
  silence_watchdog(const silence_watchdog&) = delete;
  silence_watchdog& operator=(const silence_watchdog&) = delete;
  silence_watchdog(silence_watchdog&&) = delete;
  silence_watchdog& operator=(silence_watchdog&&) = delete;
  ~silence_watchdog() = default;

 private:
  asio::steady_timer timer_;
};

/// @brief Finds out whether the upstream of an attempt crashed, at once for a request that is
/// suspect already: it might be sent to the next upstream.
asio::awaitable<void> examine_loss(traffic_state& state,
                                   const asio::any_io_executor& executor,
                                   const call& served,
                                   const base::upstream_id& upstream) {
  const lost_call lost = describe_lost_call(state, served, upstream);
  if (state.crashes.is_suspect(served.fingerprint)) {
    co_await check_for_crash(state, executor, lost);
  } else {
    spawn_task(executor, state.log, "crash_check", check_for_crash(state, executor, lost));
  }
}

asio::awaitable<exchange_result> send_attempt(traffic_state& state,
                                              call& served,
                                              upstream_selection& selection) {
  const base::instant started_at = state.clock();
  state.in_flight.begin(selection.upstream, started_at);
  constexpr std::size_t max_buffered_response = 64U << 10U;
  exchange_result attempt =
      co_await exchange(std::move(selection.connection), served, state.options.protocol,
                        served.deadline - started_at, max_buffered_response);
  state.in_flight.end(selection.upstream, started_at);
  if (attempt.status != 0) {
    state.last_upstream_response = state.clock();
  }
  const base::duration elapsed = state.clock() - started_at;
  state.metrics.add("attempts_total{outcome=\"" + std::string(to_text(attempt.outcome)) + "\"}");
  apply_notice(state, selection.upstream, attempt.notice, notice_source::call);
  log_attempt(state, served, selection, attempt, elapsed);
  record_outcome(state, served, selection, attempt, elapsed);
  if (!attempt.body_parser && attempt.connection) {
    state.pool.release(std::move(attempt.connection), state.clock());
  }
  co_return attempt;
}

/// @brief Ends a call of a host that reaches no upstream: another host serves it, unless it came
/// from one.
asio::awaitable<relay_result> serve_isolated(traffic_state& state,
                                             asio::any_io_executor executor,
                                             std::shared_ptr<call> served,
                                             const call_progress& progress) {
  if (!served->relayed) {
    co_return co_await relay_call(state, std::move(executor), std::move(served),
                                  progress.may_have_run);
  }
  relay_result result{.result = {}, .taken = true};
  result.result.local = progress.may_have_run
                            ? make_local_response(state, *served, status::bad_gateway,
                                                  "no whole answer from an upstream\n")
                            : make_local_response(state, *served, status::misdirected,
                                                  "not run: this host reaches no upstream\n");
  co_return result;
}

/// @brief The result of a call for which no upstream needs to be sought; nothing if one is to be.
asio::awaitable<std::optional<call_result>> settle_without_search(traffic_state& state,
                                                                  asio::any_io_executor executor,
                                                                  std::shared_ptr<call> served,
                                                                  const call_progress& progress,
                                                                  call_diagnostics diagnostics) {
  if (state.crashes.is_quarantined(served->fingerprint)) {
    co_return refuse_quarantined(state, *served, progress, std::move(diagnostics));
  }
  if (state.isolation.isolated()) {
    relay_result relayed = co_await serve_isolated(state, std::move(executor), served, progress);
    if (relayed.taken || !state.isolation.may_search(state.clock())) {
      co_return std::move(relayed.result);
    }
  }
  if (!served->can_be_sent()) {
    // A host that did not take the call has consumed its body.
    co_return give_up(state, *served, progress, state.options.placement.min_retry_after,
                      diagnostics);
  }
  co_return std::nullopt;
}

/// @brief The result of a call for which no upstream was found.
/// @param decided The decision that refuses the call; its pause is 0 if the time until an upstream
/// may be found is unknown.
asio::awaitable<call_result> settle_without_upstream(traffic_state& state,
                                                     asio::any_io_executor executor,
                                                     std::shared_ptr<call> served,
                                                     const call_progress& progress,
                                                     call_diagnostics diagnostics,
                                                     const upstream_selection& decided) {
  if (state.isolation.isolated() && !served->caller_left) {
    relay_result relayed =
        co_await serve_isolated(state, std::move(executor), std::move(served), progress);
    co_return std::move(relayed.result);
  }
  const base::duration pause = decided.decision.pause;
  const base::duration retry_after =
      pause > base::duration::zero() ? pause : state.options.placement.min_retry_after;
  co_return give_up(state, *served, progress, retry_after, diagnostics, decided.refusal);
}

/// @brief Whether the call is over, however its caller fares.
bool ends_call(const exchange_result& attempt, const call& served) {
  return served.caller_left || attempt.outcome == exchange_outcome::caller_left ||
         attempt.outcome == exchange_outcome::answered ||
         attempt.outcome == exchange_outcome::timed_out;
}

/// @brief The result of a call that its last attempt ended.
call_result finish(const traffic_state& state,
                   const call& served,
                   exchange_result attempt,
                   call_result result) {
  if (served.caller_left || attempt.outcome == exchange_outcome::caller_left) {
    return result;
  }
  if (attempt.outcome == exchange_outcome::timed_out) {
    result.local = make_local_response(state, served, status::gateway_timeout,
                                       "no answer within the time allowed\n");
  } else {
    result.upstream_response = std::move(attempt);
  }
  return result;
}

void describe_search(call_diagnostics& diagnostics,
                     const upstream_selection& selection,
                     base::duration held) {
  diagnostics.rounds = selection.rounds;
  diagnostics.held = held;
  diagnostics.expected = selection.decision.expected.total;
  diagnostics.considered = selection.considered;
}

/// @brief Adds a call to the budgets of resends and of probes for waiting calls.
void count_call(traffic_state& state, const call& served, const base::service_id& service) {
  if (!served.relayed) {
    // A relayed call counts once, at the host that received it from its caller.
    state.repeats.on_request(service, state.clock());
  }
  state.wait_probes.on_call();
}

}  // namespace

asio::awaitable<call_result> run_call(traffic_state& state,
                                      asio::any_io_executor executor,
                                      std::shared_ptr<call> served) {
  const base::service_id service = pick_service(*served->route, state.random);
  count_call(state, *served, service);
  share_ticket share(state, *served, service);
  call_progress progress;
  call_diagnostics diagnostics;
  for (;;) {
    auto settled = co_await settle_without_search(state, executor, served, progress, diagnostics);
    if (settled) {
      co_return std::move(*settled);
    }
    upstream_selection selection =
        co_await select_upstream(state, executor, *served, share, service, progress.tried);
    describe_search(diagnostics, selection, state.clock() - served->arrived);
    if (!ends_before_stop(state, *served, selection.decision.expected.total)) {
      state.pool.release(std::move(selection.connection), state.clock());
      co_return refuse_for_stop(state, *served, progress, diagnostics);
    }
    if (!selection.connection || served->caller_left) {
      co_return co_await settle_without_upstream(state, executor, served, progress, diagnostics,
                                                 selection);
    }
    if (state.crashes.is_quarantined(served->fingerprint)) {
      // The verdict came while the call was held.
      state.pool.release(std::move(selection.connection), state.clock());
      co_return refuse_quarantined(state, *served, progress, diagnostics);
    }
    share.start();
    progress.tried.insert(selection.upstream);
    diagnostics.attempts = ++progress.attempts;
    if (const auto limit = state.send_limit_of(selection.upstream)) {
      diagnostics.limit = limit->rate;
      state.metrics.add("sends_to_limited_upstreams_total");
    }
    call_result result;
    result.upstream = selection.upstream;
    result.diagnostics = diagnostics;
    std::optional<silence_watchdog> watchdog;
    watchdog.emplace(state, executor, served, progress, service, diagnostics.expected);
    exchange_result attempt = co_await send_attempt(state, *served, selection);
    watchdog.reset();
    if (ends_call(attempt, *served)) {
      co_return finish(state, *served, std::move(attempt), std::move(result));
    }
    if (attempt.connection_lost) {
      co_await examine_loss(state, executor, *served, result.upstream);
    }
    progress.may_have_run = progress.may_have_run || attempt.outcome != exchange_outcome::not_run;
    if (!attempt.body_parser && may_retry(state, *served, progress, attempt, service)) {
      continue;
    }
    if (attempt.outcome == exchange_outcome::failed) {
      result.upstream_response = std::move(attempt);
      co_return result;
    }
    co_return give_up(state, *served, progress, state.options.placement.min_retry_after,
                      diagnostics);
  }
}

}  // namespace catkintack::serving
