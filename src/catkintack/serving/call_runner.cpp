#include "catkintack/serving/call_runner.hpp"

#include <set>
#include <utility>

#include "catkintack/serving/status.hpp"
#include "catkintack/serving/upstream_selection.hpp"

namespace catkintack::serving {
namespace {

/// @brief Progress of one call over its attempts.
struct call_progress {
  std::uint32_t attempts = 0;
  bool may_have_run = false;  ///< Some attempt may have run it.
  std::set<base::upstream_id> tried;
};

base::service_id service_for(const routes::route& route, const base::random_hook& random) {
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

own_answer own(const traffic_state& state,
               const call& served,
               unsigned status,
               std::string sentence,
               base::duration retry_after = {}) {
  return {.status = status,
          .sentence = std::move(sentence),
          .retry_after = retry_after,
          .request_id_header = state.options.protocol.request_id,
          .request_id = served.id};
}

/// @brief The final answer when no further attempt is made.
call_result give_up(const traffic_state& state,
                    const call& served,
                    const call_progress& progress,
                    base::duration retry_after,
                    const call_account& account) {
  call_result result;
  result.account = account;
  if (served.caller_left) {
    return result;
  }
  if (progress.may_have_run) {
    result.own = own(state, served, status::bad_gateway, "no whole answer from an upstream\n");
  } else {
    result.own = own(state, served, status::unavailable, "not run: no upstream can serve it now\n",
                     retry_after);
  }
  return result;
}

void log_attempt(traffic_state& state,
                 const call& served,
                 const upstream_selection& chosen,
                 const exchange_result& ended,
                 base::duration took) {
  if (ended.end == exchange_end::answered) {
    return;
  }
  state.log.write("attempt_failed", {{"request", served.id},
                                     {"upstream", chosen.upstream.value()},
                                     {"outcome", std::string(to_text(ended.end))},
                                     {"why", ended.detail},
                                     {"took_us", took.count()},
                                     {"considered", chosen.considered}});
}

/// @brief Learns from the end of an attempt.
void learn(traffic_state& state,
           const call& served,
           const upstream_selection& chosen,
           const exchange_result& ended,
           base::duration took) {
  switch (ended.end) {
    case exchange_end::answered:
      state.suspicion.on_success(chosen.upstream);
      if (!ended.rest) {
        state.experience.on_response(served.route->name.value(), took, chosen.reading,
                                     ended.sent_bytes + ended.body.size());
      }
      return;
    case exchange_end::caller_left:
      return;
    case exchange_end::failed:
    case exchange_end::not_run:
    case exchange_end::may_have_run:
    case exchange_end::timed_out:
      state.suspicion.on_failure(chosen.upstream, state.clock());
      return;
  }
}

asio::awaitable<exchange_result> attempt(traffic_state& state,
                                         call& served,
                                         upstream_selection& chosen) {
  const base::instant began = state.clock();
  state.sends.begin(chosen.upstream, began);
  constexpr std::size_t held_answer = 64U << 10U;
  exchange_result ended =
      co_await exchange(std::move(chosen.connection), served, state.options.protocol,
                        served.deadline - began, held_answer);
  state.sends.end(chosen.upstream, began);
  const base::duration took = state.clock() - began;
  state.metrics.add("attempts_total{outcome=\"" + std::string(to_text(ended.end)) + "\"}");
  log_attempt(state, served, chosen, ended, took);
  learn(state, served, chosen, ended, took);
  if (!ended.rest && ended.connection) {
    state.pool.give_back(std::move(ended.connection), state.clock());
  }
  co_return ended;
}

bool may_repeat(traffic_state& state,
                const call& served,
                const call_progress& progress,
                const exchange_result& ended,
                const base::service_id& service) {
  const bool safe = served.repeatable() || ended.end == exchange_end::not_run;
  return safe && !served.more_body && !served.caller_left &&
         progress.attempts < served.route->max_attempts && state.clock() < served.deadline &&
         state.repeats.take(service, state.clock());
}

}  // namespace

asio::awaitable<call_result> run_call(traffic_state& state,
                                      asio::any_io_executor executor,
                                      std::shared_ptr<call> served) {
  const base::service_id service = service_for(*served->route, state.random);
  state.repeats.on_request(service, state.clock());
  call_progress progress;
  call_account account;
  base::duration retry_after = state.options.placement.min_retry_after;
  for (;;) {
    upstream_selection chosen =
        co_await select_upstream(state, executor, *served, service, progress.tried);
    account.rounds = chosen.rounds;
    account.held = state.clock() - served->arrived;
    account.expected = chosen.decision.expected.total;
    account.considered = chosen.considered;
    if (!chosen.connection || served->caller_left) {
      if (chosen.decision.pause > base::duration::zero()) {
        retry_after = chosen.decision.pause;
      }
      co_return give_up(state, *served, progress, retry_after, account);
    }
    progress.tried.insert(chosen.upstream);
    account.attempts = ++progress.attempts;
    call_result result;
    result.upstream = chosen.upstream;
    result.account = account;
    exchange_result ended = co_await attempt(state, *served, chosen);
    if (ended.end == exchange_end::caller_left || served->caller_left) {
      co_return result;
    }
    if (ended.end == exchange_end::answered) {
      result.upstream_answer = std::move(ended);
      co_return result;
    }
    if (ended.end == exchange_end::timed_out) {
      result.own =
          own(state, *served, status::gateway_timeout, "no answer within the time allowed\n");
      co_return result;
    }
    progress.may_have_run = progress.may_have_run || ended.end != exchange_end::not_run;
    if (!ended.rest && may_repeat(state, *served, progress, ended, service)) {
      continue;
    }
    if (ended.end == exchange_end::failed) {
      result.upstream_answer = std::move(ended);
      co_return result;
    }
    co_return give_up(state, *served, progress, retry_after, account);
  }
}

}  // namespace catkintack::serving
