#include "catkintack/gateway/gateway.hpp"

#include <utility>

#include "own_answers.hpp"

namespace catkintack::gateway {
namespace {

using delivery::final_response;

constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int status_loop_detected = 508;

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

void gateway::admit(base::instant now, const call_arrived& event) {
  if (event.depth > options_.retries.max_depth) {
    refuse(event, not_run(status_loop_detected, "the call crossed more than " +
                                                    std::to_string(options_.retries.max_depth) +
                                                    " gateways"));
    return;
  }
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
    if (word.reason == limits::refusal::fair_share) {
      refuse(event, not_run(status_unavailable,
                            "service " + service + " is short and customer " + name +
                                " has its share of it",
                            word.retry_after));
      return;
    }
    refuse(event, not_run(status_too_many_requests,
                          "customer " + name + " has used its allowance for " + service,
                          word.retry_after));
    return;
  }
  start(now, event, customer->id);
}

void gateway::refuse(const call_arrived& event, const final_response& end) {
  recorder_("gateway", "refused", event.request, {{"status", std::to_string(end.status)}});
  actions_.emplace_back(finish_call{event.call, end});
  finish_request(event.request, event.idempotent, end);
}

void gateway::start(base::instant now,
                    const call_arrived& event,
                    const base::customer_id& customer) {
  call state;
  state.request = event.request;
  state.customer = customer;
  state.service = event.service;
  state.idempotent = event.idempotent;
  state.deadline = deadline_of(now, event);
  state.depth = event.depth;
  state.retries_left = retry_budget_.start(event.service, event.retries_left);
  call& stored = calls_.insert_or_assign(event.call, std::move(state)).first->second;
  begin(now, event.call, stored);
}

}  // namespace catkintack::gateway
