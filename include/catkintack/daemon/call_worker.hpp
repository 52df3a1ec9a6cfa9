/// @file
/// Executes the actions that the decision core requests for calls.
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

/// Forwards a call to another host; returns no value when no complete answer came back.
using forward_hook =
    std::function<std::optional<delivery::final_response>(const base::host_id& host,
                                                          const gateway::call_arrived& event,
                                                          const net::upstream_request& request,
                                                          base::instant deadline)>;

/// @brief Connects the decision core to the upstreams. Thread-safe.
class call_worker {
 public:
  /// @param clock Time base of the core's deadlines.
  /// @param forward Forwards calls to other hosts; without it, forwarded calls count as
  /// unanswered.
  call_worker(std::unique_ptr<gateway::gateway> core,
              const base::clock_hook& clock,
              forward_hook forward = {});

  /// @brief Runs a call on the calling thread until its final answer is decided.
  /// @param request The request that attempts send to an upstream.
  delivery::final_response run(const gateway::call_arrived& event, net::upstream_request request);

  /// @brief Submits an event to the core.
  void submit(const gateway::gateway_event& event) { runner_.submit(event); }

  /// @brief Sets the function that sends this host's demand reports to its peers. Must be set
  /// before the first tick.
  /// @param hook Called on the thread that submits ticks.
  void set_demand_hook(std::function<void(const gateway::publish_demand&)> hook) {
    demand_hook_ = std::move(hook);
  }

  /// @brief Total cost of the probes sent so far.
  routing::probe_cost probe_spending() const { return runner_.probe_spending(); }

  /// @brief Number of calls in progress.
  std::size_t open_calls() const { return runner_.open_calls(); }

  /// @brief Newest epoch of the request registry, used in the tokens for callers.
  std::uint64_t newest_epoch() const { return runner_.newest_epoch(); }

  /// @brief Copies the finished requests that a successor of this host needs, as one part.
  /// @param self This host's incarnation.
  delivery::hand_over_part export_finished_requests(const delivery::host_incarnation& self) const {
    return runner_.export_finished_requests(self);
  }

 private:
  using shared_request = std::shared_ptr<const net::upstream_request>;

  gateway::attempt_ended run_attempt(const gateway::send_attempt& action,
                                     const net::upstream_request& request);
  void forward(const gateway::forward_call& action,
               const gateway::call_arrived& event,
               const net::upstream_request& request);
  void attempt_on_pool(const gateway::send_attempt& action);
  void run_probe(const gateway::send_probe& action);
  void report_not_sent(const gateway::send_attempt& action);
  void store_request(base::call_id call, shared_request request);
  void erase_request(base::call_id call);
  shared_request find_request(base::call_id call);

  std::function<void(const gateway::publish_demand&)> demand_hook_ = [](const auto&) {};
  net::upstream_client upstreams_;
  forward_hook forward_;
  core_runner runner_;
  std::atomic<std::uint64_t> probe_count_ = 0;
  std::mutex mutex_;
  std::unordered_map<base::call_id, shared_request> requests_;
  task_pool pool_;  // Last, so that its threads end before the other members are destroyed.
};

}  // namespace catkintack::daemon
