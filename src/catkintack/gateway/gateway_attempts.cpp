#include "catkintack/gateway/gateway.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/base/breach.hpp"
#include "local_responses.hpp"

namespace catkintack::gateway {
namespace {

using delivery::final_response;
using delivery::outcome;
using routing::attempt_result;

constexpr int first_server_error_status = 500;
constexpr int silence_timeout_factor = 4;  // Multiplies the latency quantile.
constexpr base::duration min_silence_timeout = std::chrono::milliseconds(20);
constexpr base::duration default_silence_timeout = std::chrono::seconds(1);

limits::failure_kind failure_of(attempt_result result) {
  switch (result) {
    case attempt_result::not_sent:
      return limits::failure_kind::not_sent;
    case attempt_result::refused:
      return limits::failure_kind::refused;
    default:
      return limits::failure_kind::may_have_run;
  }
}

}  // namespace

void gateway::dispatch(base::instant now, base::call_id id, call& state) {
  hedges_.credit_call();
  if (try_attempt(now, id, state) || enqueue(now, id, state)) {
    return;
  }
  reject_unsent(now, id, state);
}

void gateway::reject_unsent(base::instant now, base::call_id id, call& state) {
  const std::string service = "service \"" + state.service.value() + "\"";
  if (state.may_have_run) {
    finish(id, state, unknown_response(service + " gave no whole answer"));
    return;
  }
  if (!router_.at_capacity(now, state.service, state.tried)) {
    finish(id, state, unavailable_response(service + " has no upstream that takes work"));
    return;
  }
  final_response response =
      unavailable_response("every upstream of " + service + " is busy beyond the deadline");
  response.retry_after = std::max(expected_wait(now, state.service), *response.retry_after);
  finish(id, state, response);
}

bool gateway::try_attempt(base::instant now, base::call_id id, call& state) {
  const auto& queue = queues_[state.service];
  const bool others_wait = !queue.empty() && queue.front() != id;
  const routing::upstream_record* const target =
      others_wait ? nullptr : router_.choose(now, state.service, state.tried);
  if (target == nullptr) {
    return false;
  }
  start_attempt(now, id, state, *target);
  const auto delay = router_.latency(state.service).quantile();
  if (state.idempotent && delay && options_.hedge.share > 0) {
    const auto scaled =
        std::chrono::duration<double, std::micro>(*delay) * options_.hedge.delay_factor;
    hedges_.schedule(now + std::chrono::duration_cast<base::duration>(scaled), id);
  }
  return true;
}

void gateway::start_attempt(base::instant now,
                            base::call_id id,
                            call& state,
                            const routing::upstream_record& target) {
  record_breaches(state, target);
  state.last_attempt = state.last_attempt.next();
  state.tried.push_back(target.id);
  state.in_flight.push_back({state.last_attempt, target.id, now});
  recorder_(
      "routing", "attempt_sent", state.request,
      {{"attempt", std::to_string(state.last_attempt.value())}, {"upstream", target.id.value()}});
  actions_.emplace_back(send_attempt{id, state.last_attempt, target, state.deadline,
                                     state.depth + 1,
                                     limits::retry_budget::downstream_budget(state.retries_left),
                                     silence_timeout_for(state.service)});
}

void gateway::record_breaches(const call& state, const routing::upstream_record& target) {
  if (target.leaving) {
    recorder_("routing", std::string(base::breach::leaving_got_work), state.request,
              {{"upstream", target.id.value()}});
  }
  if (state.may_have_run && !state.idempotent) {
    recorder_("delivery", std::string(base::breach::sent_twice), state.request,
              {{"attempt", std::to_string(state.last_attempt.next().value())}});
  }
}

base::duration gateway::silence_timeout_for(const base::service_id& service) const {
  const auto latency_quantile = router_.latency(service).quantile();
  return latency_quantile
             ? std::max(*latency_quantile * silence_timeout_factor, min_silence_timeout)
             : default_silence_timeout;
}

void gateway::send_due_hedges(base::instant now) {
  while (const auto due = hedges_.pop_due(now)) {
    try_hedge(now, *due);
  }
}

void gateway::try_hedge(base::instant now, base::call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.finished || found->second.in_flight.size() != 1) {
    return;
  }
  call& state = found->second;
  if (!hedges_.has_budget() || state.last_attempt.value() >= options_.max_attempts) {
    return;
  }
  if (!retry_budget_.try_spend(state.service, limits::failure_kind::may_have_run,
                               state.deadline - now, state.retries_left)) {
    return;
  }
  const routing::upstream_record* const target =
      router_.choose(now, state.service, state.tried, routing::choice_scope::own_region);
  if (target == nullptr) {
    return;
  }
  hedges_.spend();
  recorder_("routing", "hedged", state.request, {});
  start_attempt(now, id, state, *target);
}

bool gateway::may_retry(base::instant now, call& state) {
  const bool safe = state.idempotent || !state.may_have_run;
  const bool wanted = safe && !state.shed && now < state.deadline &&
                      state.last_attempt.value() < options_.max_attempts;
  return wanted && retry_budget_.try_spend(state.service, failure_of(state.last_result),
                                           state.deadline - now, state.retries_left);
}

void gateway::record_attempt_end(base::instant now, call& state, const attempt_ended& event) {
  const auto ended = std::find_if(
      state.in_flight.begin(), state.in_flight.end(),
      [&event](const attempt_in_flight& attempt) { return attempt.number == event.attempt; });
  if (ended == state.in_flight.end()) {
    return;
  }
  routing::attempt_observation observation;
  observation.result = event.result;
  observation.elapsed = now - ended->sent_at;
  observation.load = event.load;
  observation.server_error =
      event.upstream_response && event.upstream_response->status >= first_server_error_status;
  router_.on_attempt_ended(now, ended->upstream, observation);
  state.in_flight.erase(ended);
  state.shed = state.shed || event.shed;
  state.last_result = event.result;
  const bool queued = !queues_[state.service].empty() || (event.load && event.load->queued > 0);
  limiter_.record_saturation(state.service, queued || event.result == attempt_result::refused);
  if (event.result == attempt_result::answered) {
    retry_budget_.record_response_time(state.service, observation.elapsed);
  }
  state.may_have_run = state.may_have_run || !certainly_not_run(event.result);
}

void gateway::on(base::instant now, const attempt_ended& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) {
    return;
  }
  const base::service_id service = found->second.service;
  record_attempt_end(now, found->second, event);
  complete_or_retry(now, event.call, found->second, event);
  drain_queue(now, service);
}

void gateway::complete_or_retry(base::instant now,
                                base::call_id id,
                                call& state,
                                const attempt_ended& event) {
  if (state.finished) {
    if (event.result == attempt_result::answered && !state.idempotent) {
      registry_.replace_unknown(
          state.request,
          {outcome::answer, event.upstream_response->status, event.upstream_response, {}, {}});
    }
    if (state.in_flight.empty()) {
      calls_.erase(id);
    }
    return;
  }
  if (event.result == attempt_result::answered) {
    finish(id, state,
           {outcome::answer, event.upstream_response->status, event.upstream_response, {}, {}});
    return;
  }
  recorder_(
      "delivery", "attempt_failed", state.request,
      {{"attempt", std::to_string(event.attempt.value())}, {"result", to_string(event.result)}});
  const bool others_in_flight = !state.in_flight.empty();
  if (others_in_flight ||
      (may_retry(now, state) && (try_attempt(now, id, state) || enqueue(now, id, state)))) {
    return;
  }
  finish_failed(id, state, event);
}

void gateway::finish_failed(base::call_id id, call& state, const attempt_ended& event) {
  const std::string service = "service \"" + state.service.value() + "\"";
  if (state.may_have_run) {
    finish(id, state, unknown_response(service + " gave no whole answer"));
    return;
  }
  final_response response = unavailable_response("no upstream of " + service + " ran the request");
  response.retry_after = event.retry_after ? event.retry_after : response.retry_after;
  finish(id, state, response);
}

void gateway::finish(base::call_id id, call& state, const final_response& response) {
  recorder_("delivery", "call_finished", state.request,
            {{"outcome", to_string(response.result)}, {"status", std::to_string(response.status)}});
  limiter_.release(state.customer, state.service);
  state.finished = true;
  for (const attempt_in_flight& remaining : state.in_flight) {
    actions_.emplace_back(cancel_attempt{id, remaining.number});
  }
  actions_.emplace_back(finish_call{id, response});
  finish_request(state.request, state.idempotent, response);
  if (state.in_flight.empty()) {
    calls_.erase(id);
  }
}

}  // namespace catkintack::gateway
