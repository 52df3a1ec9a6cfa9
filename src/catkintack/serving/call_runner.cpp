#include "catkintack/serving/call_runner.hpp"

#include <optional>
#include <utility>

#include "catkintack/serving/call_attempts.hpp"
#include "catkintack/serving/relay_call.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/stop_check.hpp"

namespace catkintack::serving {
namespace {

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

/// @brief Whether a failed attempt is followed by another one, which uses up a resend.
bool may_retry(traffic_state& state,
               const call& served,
               const call_attempts& attempts,
               const exchange_result& failed,
               const base::service_id& service) {
  const bool safe = served.repeatable() || failed.outcome == exchange_outcome::not_run;
  return safe && !failed.body_parser && attempts.may_try_again() &&
         state.repeats.try_spend(service, state.clock());
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
  const auto attempts = std::make_shared<call_attempts>(state, executor, served, service);
  for (;;) {
    auto settled = co_await settle_without_search(state, executor, served, attempts->progress(),
                                                  attempts->diagnostics());
    if (settled) {
      co_return std::move(*settled);
    }
    upstream_selection selection = co_await attempts->select();
    if (!ends_before_stop(state, *served, selection.decision.expected.total)) {
      state.pool.release(std::move(selection.connection), state.clock());
      co_return refuse_for_stop(state, *served, attempts->progress(), attempts->diagnostics());
    }
    if (!selection.connection || served->caller_left) {
      co_return co_await settle_without_upstream(state, executor, served, attempts->progress(),
                                                 attempts->diagnostics(), selection);
    }
    if (state.crashes.is_quarantined(served->fingerprint)) {
      // The verdict came while the call was held.
      state.pool.release(std::move(selection.connection), state.clock());
      co_return refuse_quarantined(state, *served, attempts->progress(), attempts->diagnostics());
    }
    finished_attempt ended = co_await attempts->send(std::move(selection));
    call_result result;
    result.upstream = ended.upstream;
    result.diagnostics = ended.diagnostics;
    result.diagnostics.attempts = attempts->progress().attempts;
    if (ends_call(ended.exchange, *served)) {
      co_return finish(state, *served, std::move(ended.exchange), std::move(result));
    }
    if (may_retry(state, *served, *attempts, ended.exchange, service)) {
      continue;
    }
    if (ended.exchange.outcome == exchange_outcome::failed) {
      result.upstream_response = std::move(ended.exchange);
      co_return result;
    }
    co_return give_up(state, *served, attempts->progress(), state.options.placement.min_retry_after,
                      attempts->diagnostics());
  }
}

}  // namespace catkintack::serving
