#include "catkintack/daemon/call_worker.hpp"

#include <utility>
#include <variant>

#include "catkintack/net/headers.hpp"

namespace catkintack::daemon {
namespace {

constexpr std::size_t pool_threads = 8;
constexpr const char* load_path = "/load";  // Upstreams report their load here.

}  // namespace

call_worker::call_worker(std::unique_ptr<gateway::gateway> core,
                         const base::clock_hook& clock,
                         forward_hook forward)
    : upstreams_({}, clock),
      forward_(std::move(forward)),
      runner_(std::move(core),
              {clock, [this](const gateway::send_attempt& action) { attempt_on_pool(action); },
               [this](const gateway::send_probe& action) { run_probe(action); },
               [this](const gateway::cancel_attempt& action) {
                 upstreams_.cancel({action.call, action.attempt});
               },
               [this](const gateway::publish_demand& action) { demand_hook_(action); }}),
      pool_(pool_threads) {}

delivery::final_response call_worker::run(const gateway::call_arrived& event,
                                          net::upstream_request request) {
  const auto shared = std::make_shared<const net::upstream_request>(std::move(request));
  const auto [call, mailbox] = runner_.begin_call(event);
  store_request(call, shared);
  while (true) {
    const gateway::gateway_action action = mailbox->pop();
    if (const auto* const finished = std::get_if<gateway::finish_call>(&action)) {
      erase_request(call);
      runner_.end_call(call);
      for (const gateway::send_attempt& attempt : mailbox->pending_attempts()) {
        report_not_sent(attempt);
      }
      return finished->response;
    }
    if (const auto* const forwarded = std::get_if<gateway::forward_call>(&action)) {
      forward(*forwarded, event, *shared);
      continue;
    }
    const gateway::attempt_ended end =
        run_attempt(std::get<gateway::send_attempt>(action), *shared);
    mailbox->mark_attempt_ended();
    runner_.submit(end);
  }
}

gateway::attempt_ended call_worker::run_attempt(const gateway::send_attempt& action,
                                                const net::upstream_request& request) {
  const net::exchange_options options{
      action.deadline,
      action.silence_timeout,
      {{net::headers::depth, std::to_string(action.depth)},
       {net::headers::retries_left, std::to_string(action.retries_left)}}};
  const net::exchange_result end =
      upstreams_.exchange({action.call, action.attempt}, action.target.where, request, options);
  return {action.call, action.attempt, end.result, end.answer, end.load, end.retry_after, end.shed};
}

void call_worker::forward(const gateway::forward_call& action,
                          const gateway::call_arrived& event,
                          const net::upstream_request& request) {
  gateway::forward_ended ended{action.call, std::nullopt};
  if (forward_) {
    ended.response = forward_(action.host, event, request, action.deadline);
  }
  runner_.submit(ended);
}

void call_worker::attempt_on_pool(const gateway::send_attempt& action) {
  pool_.submit([this, action] {
    const shared_request request = find_request(action.call);
    if (!request) {
      report_not_sent(action);
      return;
    }
    runner_.submit(run_attempt(action, *request));
  });
}

void call_worker::run_probe(const gateway::send_probe& action) {
  const base::attempt_number number(++probe_count_);
  pool_.submit([this, action, number] {
    const net::exchange_result end =
        upstreams_.exchange({base::call_id(), number}, action.target.where,
                            {"GET", load_path, {}, ""}, {action.deadline});
    runner_.submit(gateway::probe_ended{action.target.id, end.load});
  });
}

void call_worker::report_not_sent(const gateway::send_attempt& action) {
  gateway::attempt_ended end;
  end.call = action.call;
  end.attempt = action.attempt;
  end.result = routing::attempt_result::not_sent;
  runner_.submit(end);
}

void call_worker::store_request(base::call_id call, shared_request request) {
  const std::lock_guard lock(mutex_);
  requests_.emplace(call, std::move(request));
}

void call_worker::erase_request(base::call_id call) {
  const std::lock_guard lock(mutex_);
  requests_.erase(call);
}

call_worker::shared_request call_worker::find_request(base::call_id call) {
  const std::lock_guard lock(mutex_);
  const auto found = requests_.find(call);
  return found == requests_.end() ? nullptr : found->second;
}

}  // namespace catkintack::daemon
