#include "catkintack/gateway/gateway.hpp"

#include <utility>

#include "own_answers.hpp"

namespace catkintack::gateway {
namespace {

using delivery::final_answer;

constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

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
    refuse(event, not_run(status_unauthorized, "the key belongs to no customer"));
    return;
  }
  const std::string service = quoted(event.service.value());
  if (!router_.knows(event.service)) {
    refuse(event, not_run(status_not_found, "service " + service + " does not exist"));
    return;
  }
  const config::allowance* const allowance = lists_->find_allowance(customer->plan, event.service);
  if (allowance == nullptr) {
    refuse(event, not_run(status_forbidden, "plan " + quoted(customer->plan.value()) +
                                                " has no allowance for " + service));
    return;
  }
  const limits::admission word = limiter_.admit(now, customer->id, *allowance);
  if (!word.admitted) {
    const std::string name = quoted(customer->id.value());
    refuse(event, not_run(status_too_many_requests,
                          "customer " + name + " has used its allowance for " + service,
                          word.retry_after));
    return;
  }
  start(now, event, customer->id);
}

void gateway::refuse(const call_arrived& event, const final_answer& end) {
  recorder_("gateway", "refused", event.request, {{"status", std::to_string(end.status)}});
  actions_.emplace_back(finish_call{event.call, end});
  for (const base::call_id waiting : registry_.finish(event.request, end)) {
    actions_.emplace_back(finish_call{waiting, end});
  }
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
  begin(now, event.call, stored);
}

}  // namespace catkintack::gateway
