/// @file
/// Runs calls: carries out the decision core's actions for them.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "catkintack/daemon/core_runner.hpp"
#include "catkintack/daemon/task_pool.hpp"
#include "catkintack/net/upstream_client.hpp"

namespace catkintack::daemon {

/// Sends a call on to another host; nothing when no whole answer came back.
using forward_hook =
    std::function<std::optional<delivery::final_response>(const base::host_id& host,
                                                          const gateway::call_arrived& event,
                                                          const net::upstream_request& request,
                                                          base::instant deadline)>;

/// @brief Connects the decision core with the upstreams. Safe for use by several threads.
class call_worker {
 public:
  /// @brief Sets up the worker.
  /// @param core The decision core.
  /// @param clock The clock that the core's times belong to.
  /// @param forward Sends calls on; without it they count as lost.
  call_worker(std::unique_ptr<gateway::gateway> core,
              const base::clock_hook& clock,
              forward_hook forward = {});

  /// @brief Runs a call to its end on the calling thread.
  /// @param event The call's arrival.
  /// @param request What is to be sent upstream.
  /// @return The final answer.
  delivery::final_response run(const gateway::call_arrived& event, net::upstream_request request);

  /// @brief Feeds an event to the core.
  /// @param event The event.
  void submit(const gateway::gateway_event& event) { runner_.submit(event); }

  /// @brief Sets who tells peers this host's demand; set before the first tick.
  /// @param hook The hook, called by the thread that submits ticks.
  void on_demand(std::function<void(const gateway::publish_demand&)> hook) {
    demand_hook_ = std::move(hook);
  }

  /// @brief What probes have cost so far.
  /// @return The sum.
  routing::probe_cost probe_spending() const { return runner_.probe_spending(); }

  /// @brief Calls in progress.
  /// @return Their number.
  std::size_t open_calls() const { return runner_.open_calls(); }

  /// @brief The epoch that belongs into tokens for callers.
  /// @return The newest epoch.
  std::uint64_t newest_epoch() const { return runner_.newest_epoch(); }

  /// @brief What a successor must know of this host's ids.
  /// @param self This incarnation.
  /// @return The whole table.
  delivery::hand_over_part table(const delivery::host_incarnation& self) const {
    return runner_.table(self);
  }

 private:
  using shared_request = std::shared_ptr<const net::upstream_request>;

  gateway::attempt_ended attempt(const gateway::send_attempt& action,
                                 const net::upstream_request& request);
  void forward(const gateway::forward_call& action,
               const gateway::call_arrived& event,
               const net::upstream_request& request);
  void attempt_elsewhere(const gateway::send_attempt& action);
  void probe(const gateway::send_probe& action);
  void report_not_sent(const gateway::send_attempt& action);
  void remember(base::call_id call, shared_request request);
  void forget(base::call_id call);
  shared_request find(base::call_id call);

  std::function<void(const gateway::publish_demand&)> demand_hook_ = [](const auto&) {};
  net::upstream_client upstreams_;
  forward_hook forward_;
  core_runner runner_;
  std::atomic<std::uint64_t> probes_ = 0;
  std::mutex mutex_;
  std::unordered_map<base::call_id, shared_request> requests_;
  task_pool pool_;  // Last, so that its threads end first.
};

}  // namespace catkintack::daemon
