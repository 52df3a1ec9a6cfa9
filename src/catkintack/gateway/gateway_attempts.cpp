#include "catkintack/gateway/gateway.hpp"

#include <utility>

#include <algorithm>

#include "own_answers.hpp"

namespace catkintack::gateway {
namespace {

using delivery::final_answer;
using delivery::outcome;
using routing::attempt_result;

constexpr int status_bad_gateway = 502;
constexpr int first_server_error_status = 500;

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

bool gateway::attempt(base::instant now, base::call_id id, call& state) {
  const routing::upstream_record* const target = router_.choose(now, state.service, state.tried);
  if (target == nullptr) {
    return false;
  }
  state.last_attempt = state.last_attempt.next();
  state.tried.push_back(target->id);
  state.in_flight.push_back({state.last_attempt, target->id, now});
  recorder_(
      "routing", "attempt_sent", state.request,
      {{"attempt", std::to_string(state.last_attempt.value())}, {"upstream", target->id.value()}});
  actions_.emplace_back(send_attempt{id, state.last_attempt, *target, state.deadline,
                                     state.depth + 1,
                                     limits::retry_budget::below(state.retries_left)});
  return true;
}

bool gateway::may_retry(base::instant now, call& state) {
  const bool safe = state.idempotent || !state.may_have_run;
  const bool wanted = safe && !state.shed && now < state.deadline &&
                      state.last_attempt.value() < options_.max_attempts;
  return wanted && retry_budget_.may_retry(state.service, failure_of(state.last_result),
                                           state.deadline - now, state.retries_left);
}

void gateway::learn(base::instant now, call& state, const attempt_ended& event) {
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
  observation.server_error = event.answer && event.answer->status >= first_server_error_status;
  router_.on_attempt_ended(now, ended->upstream, observation);
  state.in_flight.erase(ended);
  state.shed = state.shed || event.shed;
  state.last_result = event.result;
  const bool queued = event.load && event.load->queued > 0;
  limiter_.on_load(state.service, queued || event.result == attempt_result::refused);
  if (event.result == attempt_result::answered) {
    retry_budget_.on_answer(state.service, observation.elapsed);
  }
  state.may_have_run = state.may_have_run || !certainly_not_run(event.result);
}

void gateway::on(base::instant now, const attempt_ended& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) {
    return;
  }
  call& state = found->second;
  learn(now, state, event);
  if (state.finished) {
    if (event.result == attempt_result::answered && !state.idempotent) {
      registry_.amend(state.request, {outcome::answer, event.answer->status, event.answer, {}, {}});
    }
    if (state.in_flight.empty()) {
      calls_.erase(found);
    }
    return;
  }
  if (event.result == attempt_result::answered) {
    finish(event.call, state, {outcome::answer, event.answer->status, event.answer, {}, {}});
    return;
  }
  recorder_(
      "delivery", "attempt_failed", state.request,
      {{"attempt", std::to_string(event.attempt.value())}, {"result", to_string(event.result)}});
  const bool others_in_flight = !state.in_flight.empty();
  if (others_in_flight || (may_retry(now, state) && attempt(now, event.call, state))) {
    return;
  }
  give_up(event.call, state, event);
}

void gateway::give_up(base::call_id id, call& state, const attempt_ended& event) {
  const std::string service = "service \"" + state.service.value() + "\"";
  if (state.may_have_run) {
    finish(id, state,
           {outcome::unknown, status_bad_gateway, nullptr, service + " gave no whole answer",
            std::nullopt});
    return;
  }
  final_answer end = unavailable("no upstream of " + service + " ran the request");
  end.retry_after = event.retry_after ? event.retry_after : end.retry_after;
  finish(id, state, end);
}

void gateway::finish(base::call_id id, call& state, const final_answer& end) {
  recorder_("delivery", "call_finished", state.request,
            {{"outcome", to_string(end.result)}, {"status", std::to_string(end.status)}});
  limiter_.release(state.customer, state.service);
  state.finished = true;
  for (const attempt_in_flight& loser : state.in_flight) {
    actions_.emplace_back(cancel_attempt{id, loser.number});
  }
  actions_.emplace_back(finish_call{id, end});
  finish_request(state.request, state.idempotent, end);
  if (state.in_flight.empty()) {
    calls_.erase(id);
  }
}

}  // namespace catkintack::gateway
