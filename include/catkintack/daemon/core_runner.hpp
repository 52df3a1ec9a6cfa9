/// @file
/// Serializes events from all threads into the decision core and dispatches its actions.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/daemon/call_mailbox.hpp"
#include "catkintack/gateway/gateway.hpp"

namespace catkintack::daemon {

/// @brief Functions that perform the actions of the core.
struct core_runner_hooks {
  base::clock_hook clock;
  /// Runs an attempt on a thread other than the one that serves the call; must not block.
  std::function<void(const gateway::send_attempt&)> run_on_other_thread;
  /// Sends a probe on another thread.
  std::function<void(const gateway::send_probe&)> send_probe;
  /// Cancels an attempt in flight.
  std::function<void(const gateway::cancel_attempt&)> cancel;
  /// Sends this host's demand report to all peers.
  std::function<void(const gateway::publish_demand&)> publish_demand;
};

/// @brief Guards the decision core with a mutex that is held for one decision, never for a whole
/// call. Thread-safe.
///
/// The actions of a decision are posted while the same mutex is held, so that each call sees its
/// actions in the order in which they were decided.
class core_runner {
 public:
  core_runner(std::unique_ptr<gateway::gateway> core, core_runner_hooks hooks);

  /// @brief Assigns an id to a call and submits its arrival.
  /// @param event The arrival; its call id is overwritten.
  /// @return The id and the mailbox of the call.
  std::pair<base::call_id, std::shared_ptr<call_mailbox>> begin_call(gateway::call_arrived event);

  /// @brief Removes a call whose final answer was popped from its mailbox.
  void end_call(base::call_id call);

  /// @brief Submits an event to the core.
  void submit(const gateway::gateway_event& event);

  /// @brief Number of calls that have begun and not ended.
  std::size_t open_calls() const;

  /// @brief Newest epoch of the request registry, used in the tokens for callers.
  std::uint64_t newest_epoch() const { return newest_epoch_; }

  /// @brief Total cost of the probes sent so far.
  routing::probe_cost probe_spending() const;

  /// @brief Copies the finished requests that a successor of this host needs, as one part.
  /// @param self This host's incarnation.
  delivery::hand_over_part export_finished_requests(const delivery::host_incarnation& self) const;

 private:
  /// Actions that belong to no call; their order relative to the actions of calls does not matter.
  using host_actions = std::vector<gateway::gateway_action>;

  host_actions decide(const gateway::gateway_event& event);
  void post_to_call(const gateway::gateway_action& action);
  void perform(const host_actions& actions) const;

  std::unique_ptr<gateway::gateway> core_;
  core_runner_hooks hooks_;
  mutable std::mutex mutex_;
  std::unordered_map<base::call_id, std::shared_ptr<call_mailbox>> mailboxes_;
  base::call_id last_call_;
  std::atomic<std::uint64_t> newest_epoch_ = 0;
};

}  // namespace catkintack::daemon
