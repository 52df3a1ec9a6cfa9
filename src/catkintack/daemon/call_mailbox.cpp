#include "catkintack/daemon/call_mailbox.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace catkintack::daemon {

bool call_mailbox::post(const gateway::gateway_action& action) {
  {
    const std::lock_guard lock(mutex_);
    const bool attempt = std::holds_alternative<gateway::send_attempt>(action);
    if (attempt && attempt_running_) {
      return false;
    }
    attempt_running_ = attempt_running_ || attempt;
    actions_.push_back(action);
  }
  not_empty_.notify_one();
  return true;
}

void call_mailbox::mark_attempt_ended() {
  const std::lock_guard lock(mutex_);
  attempt_running_ = false;
}

gateway::gateway_action call_mailbox::pop() {
  std::unique_lock lock(mutex_);
  not_empty_.wait(lock, [this] { return !actions_.empty(); });
  auto next = std::find_if(actions_.begin(), actions_.end(), [](const auto& action) {
    return std::holds_alternative<gateway::finish_call>(action);
  });
  if (next == actions_.end()) {
    next = actions_.begin();
  }
  gateway::gateway_action taken = std::move(*next);
  actions_.erase(next);
  return taken;
}

std::vector<gateway::send_attempt> call_mailbox::pending_attempts() const {
  const std::lock_guard lock(mutex_);
  std::vector<gateway::send_attempt> attempts;
  for (const gateway::gateway_action& action : actions_) {
    if (const auto* const attempt = std::get_if<gateway::send_attempt>(&action)) {
      attempts.push_back(*attempt);
    }
  }
  return attempts;
}

}  // namespace catkintack::daemon
