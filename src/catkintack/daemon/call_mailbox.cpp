#include "catkintack/daemon/call_mailbox.hpp"

#include <utility>
#include <variant>

namespace catkintack::daemon {

bool call_mailbox::post(const gateway::gateway_action& action) {
  {
    const std::lock_guard lock(mutex_);
    const bool attempt = std::holds_alternative<gateway::send_attempt>(action);
    if (attempt && attempting_) {
      return false;
    }
    attempting_ = attempting_ || attempt;
    actions_.push_back(action);
  }
  changed_.notify_one();
  return true;
}

void call_mailbox::attempt_ended() {
  const std::lock_guard lock(mutex_);
  attempting_ = false;
}

gateway::gateway_action call_mailbox::take() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return !actions_.empty(); });
  gateway::gateway_action next = std::move(actions_.front());
  actions_.pop_front();
  return next;
}

}  // namespace catkintack::daemon
