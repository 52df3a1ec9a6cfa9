#include "catkintack/daemon/core_runner.hpp"

#include <utility>
#include <variant>

namespace catkintack::daemon {
namespace {

struct call_id_reader {
  base::call_id operator()(const gateway::publish_demand&) const { return {}; }
  base::call_id operator()(const gateway::send_probe&) const { return {}; }
  template <class Action>
  base::call_id operator()(const Action& action) const {
    return action.call;
  }
};

/// The call that an action belongs to; 0 for an action that belongs to no call.
base::call_id call_id_of(const gateway::gateway_action& action) {
  return std::visit(call_id_reader(), action);
}

}  // namespace

core_runner::core_runner(std::unique_ptr<gateway::gateway> core, core_runner_hooks hooks)
    : core_(std::move(core)), hooks_(std::move(hooks)) {}

std::pair<base::call_id, std::shared_ptr<call_mailbox>> core_runner::begin_call(
    gateway::call_arrived event) {
  auto mailbox = std::make_shared<call_mailbox>();
  host_actions actions;
  {
    const std::lock_guard lock(mutex_);
    last_call_ = last_call_.next();
    event.call = last_call_;
    mailboxes_.emplace(event.call, mailbox);
    actions = decide(event);
  }
  perform(actions);
  return {event.call, std::move(mailbox)};
}

void core_runner::end_call(base::call_id call) {
  const std::lock_guard lock(mutex_);
  mailboxes_.erase(call);
}

void core_runner::submit(const gateway::gateway_event& event) {
  host_actions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = decide(event);
  }
  perform(actions);
}

std::size_t core_runner::open_calls() const {
  const std::lock_guard lock(mutex_);
  return mailboxes_.size();
}

routing::probe_cost core_runner::probe_spending() const {
  const std::lock_guard lock(mutex_);
  return core_->probe_spending();
}

delivery::hand_over_part core_runner::export_finished_requests(
    const delivery::host_incarnation& self) const {
  const std::lock_guard lock(mutex_);
  const delivery::request_registry& registry = core_->registry();
  return {self, registry.oldest_epoch(), false, registry.entries()};
}

core_runner::host_actions core_runner::decide(const gateway::gateway_event& event) {
  host_actions actions;
  for (const gateway::gateway_action& action : core_->handle(hooks_.clock(), event)) {
    if (std::holds_alternative<gateway::publish_demand>(action) ||
        std::holds_alternative<gateway::send_probe>(action)) {
      actions.push_back(action);
    } else {
      post_to_call(action);
    }
  }
  newest_epoch_ = core_->registry().newest_epoch();
  return actions;
}

void core_runner::post_to_call(const gateway::gateway_action& action) {
  const auto found = mailboxes_.find(call_id_of(action));
  if (found == mailboxes_.end()) {
    return;
  }
  if (const auto* const cancelled = std::get_if<gateway::cancel_attempt>(&action)) {
    hooks_.cancel(*cancelled);
  } else if (!found->second->post(action)) {
    hooks_.run_on_other_thread(std::get<gateway::send_attempt>(action));
  }
}

void core_runner::perform(const host_actions& actions) const {
  for (const gateway::gateway_action& action : actions) {
    if (const auto* const demand = std::get_if<gateway::publish_demand>(&action)) {
      hooks_.publish_demand(*demand);
    } else if (const auto* const probe = std::get_if<gateway::send_probe>(&action)) {
      hooks_.send_probe(*probe);
    }
  }
}

}  // namespace catkintack::daemon
