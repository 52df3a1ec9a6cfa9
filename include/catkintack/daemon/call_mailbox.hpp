/// @file
/// Queue of the actions that the decision core requests for one call.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "catkintack/gateway/gateway_action.hpp"

namespace catkintack::daemon {

/// @brief Action queue between the decision core and the thread that serves a call. Thread-safe.
class call_mailbox {
 public:
  /// @brief Queues an action for the serving thread.
  /// @return False when the action is an attempt and the serving thread is already running one; the
  /// action is not queued, and the caller must run it on another thread.
  bool post(const gateway::gateway_action& action);

  /// @brief Marks the serving thread's attempt as ended; call before its end is reported to the
  /// core.
  void mark_attempt_ended();

  /// @brief Waits for the next action and removes it; the final answer precedes all others.
  gateway::gateway_action pop();

  /// @brief Returns the attempts that are still queued after the final answer was popped. Each must
  /// be reported to the core as not sent.
  std::vector<gateway::send_attempt> pending_attempts() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::deque<gateway::gateway_action> actions_;
  bool attempt_running_ = false;
};

}  // namespace catkintack::daemon
