#include "catkintack/daemon/core_runner.hpp"

#include <utility>
#include <variant>

namespace catkintack::daemon {
namespace {

struct call_reader {
  base::call_id operator()(const gateway::publish_demand&) const { return {}; }
  template <class Action>
  base::call_id operator()(const Action& action) const {
    return action.call;
  }
};

/// The call that an action belongs to; 0 for one of the whole host.
base::call_id call_of(const gateway::gateway_action& action) {
  return std::visit(call_reader(), action);
}

}  // namespace

core_runner::core_runner(std::unique_ptr<gateway::gateway> core, core_runner_hooks hooks)
    : core_(std::move(core)), hooks_(std::move(hooks)) {}

std::pair<base::call_id, std::shared_ptr<call_mailbox>> core_runner::begin(
    gateway::call_arrived event) {
  auto mailbox = std::make_shared<call_mailbox>();
  demand_list demands;
  {
    const std::lock_guard lock(mutex_);
    last_call_ = last_call_.next();
    event.call = last_call_;
    mailboxes_.emplace(event.call, mailbox);
    demands = decide(event);
  }
  publish(demands);
  return {event.call, std::move(mailbox)};
}

void core_runner::end(base::call_id call) {
  const std::lock_guard lock(mutex_);
  mailboxes_.erase(call);
}

void core_runner::submit(const gateway::gateway_event& event) {
  demand_list demands;
  {
    const std::lock_guard lock(mutex_);
    demands = decide(event);
  }
  publish(demands);
}

std::size_t core_runner::open_calls() const {
  const std::lock_guard lock(mutex_);
  return mailboxes_.size();
}

delivery::hand_over_part core_runner::table(const delivery::home& self) const {
  const std::lock_guard lock(mutex_);
  const delivery::request_registry& registry = core_->registry();
  return {self, registry.oldest_epoch(), false, registry.entries()};
}

core_runner::demand_list core_runner::decide(const gateway::gateway_event& event) {
  demand_list demands;
  for (const gateway::gateway_action& action : core_->handle(hooks_.clock(), event)) {
    if (const auto* const demand = std::get_if<gateway::publish_demand>(&action)) {
      demands.push_back(*demand);
    } else {
      deliver(action);
    }
  }
  newest_epoch_ = core_->registry().newest_epoch();
  return demands;
}

void core_runner::deliver(const gateway::gateway_action& action) {
  const auto found = mailboxes_.find(call_of(action));
  if (found == mailboxes_.end()) {
    return;
  }
  if (const auto* const cancelled = std::get_if<gateway::cancel_attempt>(&action)) {
    hooks_.cancel(*cancelled);
  } else if (!found->second->post(action)) {
    hooks_.run_elsewhere(std::get<gateway::send_attempt>(action));
  }
}

void core_runner::publish(const demand_list& demands) const {
  for (const gateway::publish_demand& demand : demands) {
    hooks_.publish_demand(demand);
  }
}

}  // namespace catkintack::daemon
