#include "catkintack/gateway/gateway.hpp"

#include <utility>

#include "local_responses.hpp"

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
  if (may_be_cut(now, event)) {
    reject(event, unavailable_response("this host stops before the request could end; make a new "
                                       "request id elsewhere"));
    return;
  }
  if (event.depth > options_.retries.max_depth) {
    reject(event, not_run_response(status_loop_detected,
                                   "the call crossed more than " +
                                       std::to_string(options_.retries.max_depth) + " gateways"));
    return;
  }
  const config::customer* const customer = lists_->find_customer(event.key_hash);
  if (customer == nullptr) {
    reject(event, not_run_response(status_unauthorized, "the key belongs to no customer"));
    return;
  }
  const std::string service = quoted(event.service.value());
  if (!router_.has_service(event.service)) {
    reject(event, not_run_response(status_not_found, "service " + service + " does not exist"));
    return;
  }
  const config::allowance* const allowance = lists_->find_allowance(customer->plan, event.service);
  if (allowance == nullptr) {
    reject(event, not_run_response(status_forbidden, "plan " + quoted(customer->plan.value()) +
                                                         " has no allowance for " + service));
    return;
  }
  const limits::admission_decision decision = limiter_.admit(now, customer->id, *allowance);
  if (!decision.admitted) {
    const std::string name = quoted(customer->id.value());
    if (decision.reason == limits::refusal_reason::fair_share) {
      reject(event, not_run_response(status_unavailable,
                                     "service " + service + " is short and customer " + name +
                                         " has its share of it",
                                     decision.retry_after));
      return;
    }
    reject(event, not_run_response(status_too_many_requests,
                                   "customer " + name + " has used its allowance for " + service,
                                   decision.retry_after));
    return;
  }
  start_call(now, event, customer->id);
}

void gateway::reject(const call_arrived& event, const final_response& response) {
  recorder_("gateway", "refused", event.request, {{"status", std::to_string(response.status)}});
  actions_.emplace_back(finish_call{event.call, response});
  finish_request(event.request, event.idempotent, response);
}

void gateway::start_call(base::instant now,
                         const call_arrived& event,
                         const base::customer_id& customer) {
  call state;
  state.request = event.request;
  state.customer = customer;
  state.service = event.service;
  state.idempotent = event.idempotent;
  state.deadline = deadline_of(now, event);
  state.depth = event.depth;
  state.retries_left = retry_budget_.add_call(event.service, event.retries_left);
  call& stored = calls_.insert_or_assign(event.call, std::move(state)).first->second;
  dispatch(now, event.call, stored);
}

}  // namespace catkintack::gateway
