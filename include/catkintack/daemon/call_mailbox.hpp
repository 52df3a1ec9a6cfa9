/// @file
/// Where the thread that serves a call finds what to do next.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "catkintack/gateway/gateway_action.hpp"

namespace catkintack::daemon {

/// @brief Actions of one call, in order. Safe for use by several threads.
class call_mailbox {
 public:
  /// @brief Hands an action to the serving thread.
  /// @param action The action.
  /// @return False when the serving thread is busy with an attempt and the action is another
  /// attempt, which must then run on another thread.
  bool post(const gateway::gateway_action& action);

  /// @brief Tells that the serving thread's attempt is over; call before reporting its end.
  void attempt_ended();

  /// @brief Waits for the next action; the final answer goes before any other.
  /// @return The action.
  gateway::gateway_action take();

  /// @brief The attempts that were posted and never taken, once the final answer was taken.
  /// @return The attempts; their ends must be reported as not sent.
  std::vector<gateway::send_attempt> untaken() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<gateway::gateway_action> actions_;
  bool attempting_ = false;
};

}  // namespace catkintack::daemon
