/// @file
/// Serializes the events of all threads into the decision core and hands out its actions.
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

/// @brief What the runner asks of the network.
struct core_runner_hooks {
  base::clock_hook clock;
  /// Runs an attempt on a thread other than the one that serves the call.
  std::function<void(const gateway::send_attempt&)> run_elsewhere;
  /// Sends a probe on another thread.
  std::function<void(const gateway::send_probe&)> send_probe;
  /// Breaks an attempt in flight.
  std::function<void(const gateway::cancel_attempt&)> cancel;
  /// Tells all peers this host's demand.
  std::function<void(const gateway::publish_demand&)> publish_demand;
};

/// @brief The decision core behind a lock that is held for one decision, never across a call.
///
/// A decision's actions are posted under the same lock, so that each call sees them in the order
/// in which they were decided.
class core_runner {
 public:
  core_runner(std::unique_ptr<gateway::gateway> core, core_runner_hooks hooks);

  /// @brief Starts a call.
  /// @param event Its arrival; the call's number is filled in.
  /// @return The call's mailbox, and its number.
  std::pair<base::call_id, std::shared_ptr<call_mailbox>> begin(gateway::call_arrived event);

  /// @brief Forgets a call whose final answer was taken.
  /// @param call The call.
  void end(base::call_id call);

  /// @brief Feeds an event to the core.
  /// @param event The event.
  void submit(const gateway::gateway_event& event);

  /// @brief Calls that have begun and not ended.
  /// @return Their number.
  std::size_t open_calls() const;

  /// @brief The epoch that belongs into tokens for callers.
  /// @return The newest epoch.
  std::uint64_t newest_epoch() const { return newest_epoch_; }

  /// @brief What probes have cost so far.
  /// @return The sum.
  routing::probe_cost probe_spending() const;

  /// @brief What a successor must know of this host's ids.
  /// @param self This incarnation.
  /// @return The whole table.
  delivery::hand_over_part table(const delivery::host_incarnation& self) const;

 private:
  /// Actions of the whole host, which need not keep an order with those of calls.
  using host_actions = std::vector<gateway::gateway_action>;

  host_actions decide(const gateway::gateway_event& event);
  void deliver(const gateway::gateway_action& action);
  void perform(const host_actions& actions) const;

  std::unique_ptr<gateway::gateway> core_;
  core_runner_hooks hooks_;
  mutable std::mutex mutex_;
  std::unordered_map<base::call_id, std::shared_ptr<call_mailbox>> mailboxes_;
  base::call_id last_call_;
  std::atomic<std::uint64_t> newest_epoch_ = 0;
};

}  // namespace catkintack::daemon
