#include "catkintack/gateway/gateway.hpp"

#include <utility>

namespace catkintack::gateway {
namespace {

using delivery::final_answer;
using delivery::outcome;
using routing::attempt_result;

constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int first_server_error_status = 500;
constexpr base::duration unavailable_retry_after = std::chrono::seconds(1);

final_answer not_run(int status, std::string message) {
  return {outcome::not_run, status, nullptr, std::move(message), std::nullopt};
}

}  // namespace

gateway::gateway(gateway_options options, base::random_hook random, decision_recorder recorder)
    : options_(std::move(options)),
      recorder_(std::move(recorder)),
      router_(options_.routing, std::move(random)),
      registry_(options_.registry),
      lists_(std::make_shared<config::lists>()) {}

std::vector<gateway_action> gateway::handle(base::instant now, const gateway_event& event) {
  actions_.clear();
  std::visit([&](const auto& concrete) { on(now, concrete); }, event);
  return std::exchange(actions_, {});
}

void gateway::on(base::instant now, const call_arrived& event) {
  if (event.request.empty()) {
    admit(now, event);
    return;
  }
  switch (registry_.arrive(event.request, event.call)) {
    case delivery::registry_state::fresh:
      admit(now, event);
      return;
    case delivery::registry_state::running:
      recorder_("delivery", "repeat_waits", event.request, {});
      return;
    case delivery::registry_state::finished:
      recorder_("delivery", "repeat_answered", event.request, {});
      actions_.emplace_back(finish_call{event.call, *registry_.recorded(event.request)});
      return;
  }
}

void gateway::admit(base::instant now, const call_arrived& event) {
  const config::customer* const customer = lists_->find_customer(event.key_hash);
  if (customer == nullptr) {
    refuse(event, status_unauthorized, "the key belongs to no customer");
    return;
  }
  if (!router_.knows(event.service)) {
    refuse(event, status_not_found, "service \"" + event.service.value() + "\" does not exist");
    return;
  }
  const config::allowance* const allowance = lists_->find_allowance(customer->plan, event.service);
  if (allowance == nullptr) {
    refuse(event, status_forbidden,
           "plan \"" + customer->plan.value() + "\" has no allowance for \"" +
               event.service.value() + "\"");
    return;
  }
  const limits::admission word = limiter_.admit(now, customer->id, *allowance);
  if (!word.admitted) {
    final_answer end = not_run(status_too_many_requests, "customer \"" + customer->id.value() +
                                                             "\" has used its allowance for \"" +
                                                             event.service.value() + "\"");
    end.retry_after = word.retry_after;
    recorder_("limits", "refused", event.request, {{"customer", customer->id.value()}});
    registry_.finish(event.request, end);
    actions_.emplace_back(finish_call{event.call, end});
    return;
  }
  start(now, event, customer->id);
}

void gateway::refuse(const call_arrived& event, int status, std::string message) {
  const final_answer end = not_run(status, std::move(message));
  recorder_("gateway", "refused", event.request, {{"status", std::to_string(status)}});
  registry_.finish(event.request, end);
  actions_.emplace_back(finish_call{event.call, end});
}

void gateway::start(base::instant now,
                    const call_arrived& event,
                    const base::customer_id& customer) {
  call state;
  state.request = event.request;
  state.customer = customer;
  state.service = event.service;
  state.idempotent = event.idempotent;
  state.deadline = now + event.time_left.value_or(options_.default_time_left);
  call& stored = calls_.insert_or_assign(event.call, std::move(state)).first->second;
  if (!attempt(now, event.call, stored)) {
    final_answer end = not_run(status_unavailable, "service \"" + event.service.value() +
                                                       "\" has no upstream that takes work");
    end.retry_after = unavailable_retry_after;
    finish(event.call, stored, end);
  }
}

bool gateway::attempt(base::instant now, base::call_id id, call& state) {
  const routing::upstream_record* const target = router_.choose(now, state.service, state.tried);
  if (target == nullptr) {
    return false;
  }
  state.last_attempt = state.last_attempt.next();
  state.tried.push_back(target->id);
  state.sent_at = now;
  recorder_(
      "routing", "attempt_sent", state.request,
      {{"attempt", std::to_string(state.last_attempt.value())}, {"upstream", target->id.value()}});
  actions_.emplace_back(send_attempt{id, state.last_attempt, *target, state.deadline});
  return true;
}

bool gateway::may_retry(base::instant now, const call& state) const {
  const bool safe = state.idempotent || !state.may_have_run;
  return safe && now < state.deadline && state.last_attempt.value() < options_.max_attempts;
}

void gateway::on(base::instant now, const attempt_ended& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) {
    return;
  }
  call& state = found->second;
  routing::attempt_observation observation;
  observation.result = event.result;
  observation.elapsed = now - state.sent_at;
  observation.load = event.load;
  observation.server_error = event.answer && event.answer->status >= first_server_error_status;
  router_.on_attempt_ended(now, state.tried.back(), observation);
  if (event.result == attempt_result::answered) {
    finish(event.call, state, {outcome::answer, event.answer->status, event.answer, {}, {}});
    return;
  }
  recorder_(
      "delivery", "attempt_failed", state.request,
      {{"attempt", std::to_string(event.attempt.value())}, {"result", to_string(event.result)}});
  state.may_have_run = state.may_have_run || !certainly_not_run(event.result);
  if (may_retry(now, state) && attempt(now, event.call, state)) {
    return;
  }
  final_answer end = not_run(status_unavailable, "no upstream of service \"" +
                                                     state.service.value() + "\" ran the request");
  end.retry_after = event.retry_after.value_or(unavailable_retry_after);
  if (state.may_have_run) {
    end = {outcome::unknown, status_bad_gateway, nullptr,
           "service \"" + state.service.value() + "\" gave no whole answer", std::nullopt};
  }
  finish(event.call, state, end);
}

void gateway::finish(base::call_id id, call& state, const final_answer& end) {
  recorder_("delivery", "call_finished", state.request,
            {{"outcome", to_string(end.result)}, {"status", std::to_string(end.status)}});
  limiter_.release(state.customer, state.service);
  actions_.emplace_back(finish_call{id, end});
  for (const base::call_id waiting : registry_.finish(state.request, end)) {
    actions_.emplace_back(finish_call{waiting, end});
  }
  calls_.erase(id);
}

void gateway::on(base::instant /*now*/, const tick& /*event*/) {}

void gateway::on(base::instant /*now*/, const lists_adopted& event) {
  lists_ = event.lists;
  recorder_("config", "lists_adopted", {},
            {{"plans", std::to_string(lists_->plans().version.value())},
             {"allowances", std::to_string(lists_->allowances().version.value())}});
}

void gateway::on(base::instant now, const upstreams_listed& event) {
  router_.update_upstreams(now, event.upstreams);
}

void gateway::on(base::instant /*now*/, const fleet_sized& event) {
  limiter_.set_live_hosts(event.live_hosts);
}

}  // namespace catkintack::gateway
