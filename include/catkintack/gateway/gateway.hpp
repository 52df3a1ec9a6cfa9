/// @file
/// The decision core, which turns events into actions without a clock, threads, sockets or a random
/// source of its own.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "catkintack/base/event_record.hpp"
#include "catkintack/base/hooks.hpp"
#include "catkintack/delivery/handed_over_table.hpp"
#include "catkintack/delivery/request_identity.hpp"
#include "catkintack/delivery/request_registry.hpp"
#include "catkintack/gateway/gateway_action.hpp"
#include "catkintack/gateway/gateway_event.hpp"
#include "catkintack/gateway/hedge_schedule.hpp"
#include "catkintack/gateway/probe_options.hpp"
#include "catkintack/gateway/queue_options.hpp"
#include "catkintack/limits/limiter.hpp"
#include "catkintack/limits/retry_budget.hpp"
#include "catkintack/routing/router.hpp"

namespace catkintack::gateway {

/// Records a decision in the time line.
using decision_recorder = std::function<void(std::string part,
                                             std::string kind,
                                             const base::request_id& request,
                                             std::vector<base::event_field> fields)>;

/// @brief Options of the decision core.
struct gateway_options {
  routing::router_options routing;
  delivery::registry_options registry;
  base::duration default_time_left = std::chrono::seconds(5);  ///< For callers without a deadline.
  std::uint32_t max_attempts = 3;                              ///< Per call, at least 1.
  std::optional<delivery::host_incarnation> self;  ///< If unset, this core owns every id.
  std::size_t max_successors = 1'024;              ///< Evicts the oldest; its ids are then unknown.
  std::size_t max_handed_over_tables = 8;          ///< Evicts the oldest; its ids are then unknown.
  limits::limiter_options limiter;
  limits::retry_budget_options retries;
  queue_options queue;
  probe_options probe;
  hedge_options hedge;
};

/// @brief Decides for all calls of one host. Not thread-safe; each event takes little time.
class gateway {
 public:
  gateway(gateway_options options, base::random_hook random, decision_recorder recorder);

  /// @brief Handles an event.
  /// @param now The current time; never earlier than for the previous event.
  /// @return The actions to perform, in order.
  std::vector<gateway_action> handle(base::instant now, const gateway_event& event);

  /// @brief Returns the total cost of probes so far; zero before the first tick.
  routing::probe_cost probe_spending() const;

  /// @brief Returns the ids of this incarnation, to be handed over to its successor.
  const delivery::request_registry& registry() const { return registry_; }

 private:
  struct attempt_in_flight {
    base::attempt_number number;
    base::upstream_id upstream;
    base::instant sent_at{};
  };

  struct call {
    base::request_id request;
    base::customer_id customer;
    base::service_id service;
    bool idempotent = false;
    base::instant deadline{};
    base::attempt_number last_attempt;
    std::vector<attempt_in_flight> in_flight;
    std::vector<base::upstream_id> tried;
    bool may_have_run = false;
    std::uint32_t depth = 0;
    std::uint32_t retries_left = 0;  ///< Extra attempts allowed to this level and all below.
    bool shed = false;               ///< An upstream refused it because of load.
    routing::attempt_result last_result = routing::attempt_result::not_sent;
    bool finished = false;  ///< The final response was sent; attempts may still be in flight.
  };

  struct waiting_repeat {
    base::request_id request;
    base::instant deadline{};
  };

  void on(base::instant now, const call_arrived& event);
  void on(base::instant now, const attempt_ended& event);
  void on(base::instant now, const tick& event);
  void on(base::instant now, const lists_adopted& event);
  void on(base::instant now, const upstreams_listed& event);
  void on(base::instant now, const host_count_changed& event);
  void on(base::instant now, const peer_demand_received& event);

  void on(base::instant now, const forward_ended& event);
  void on(base::instant now, const probe_ended& event);
  void on(base::instant now, const leave_begun& event);
  void on(base::instant now, const stop_begun& event);
  void on(base::instant now, const handed_over& event);
  void on(base::instant now, const successor_named& event);

  // Handling of request ids, in gateway_delivery.cpp.
  void route_by_owner(base::instant now, const call_arrived& event);
  void arrive_at_owner(base::instant now, const call_arrived& event, std::uint64_t epoch);
  void arrive_at_successor(const call_arrived& event,
                           const delivery::handed_over_table& table,
                           std::uint64_t epoch);
  void forward(base::instant now, const call_arrived& event, const base::host_id& host);
  void respond_immediately(const call_arrived& event, const delivery::final_response& response);
  void finish_request(const base::request_id& request,
                      bool idempotent,
                      const delivery::final_response& response);
  void expire_waiting_repeats(base::instant now);
  base::instant deadline_of(base::instant now, const call_arrived& event) const;
  /// @brief Whether the planned stop of this host could cut a call that is started now.
  bool may_be_cut(base::instant now, const call_arrived& event) const;

  // Admission, in gateway_admission.cpp.
  void admit(base::instant now, const call_arrived& event);
  void start_call(base::instant now, const call_arrived& event, const base::customer_id& customer);
  void reject(const call_arrived& event, const delivery::final_response& response);

  // Attempts, in gateway_attempts.cpp.
  bool try_attempt(base::instant now, base::call_id id, call& state);
  bool may_retry(base::instant now, call& state);
  void start_attempt(base::instant now,
                     base::call_id id,
                     call& state,
                     const routing::upstream_record& target);
  void dispatch(base::instant now, base::call_id id, call& state);
  void reject_unsent(base::instant now, base::call_id id, call& state);
  void try_hedge(base::instant now, base::call_id id);
  void send_due_hedges(base::instant now);
  void record_breaches(const call& state, const routing::upstream_record& target);
  base::duration silence_timeout_for(const base::service_id& service) const;

  // Probes, in gateway_probes.cpp.
  void send_due_probe(base::instant now);

  // Waiting calls, in gateway_queue.cpp.
  bool enqueue(base::instant now, base::call_id id, const call& state);
  base::duration expected_wait(base::instant now, const base::service_id& service) const;
  void drain_queue(base::instant now, const base::service_id& service);
  void drain_queues(base::instant now);

  void record_attempt_end(base::instant now, call& state, const attempt_ended& event);
  void complete_or_retry(base::instant now,
                         base::call_id id,
                         call& state,
                         const attempt_ended& event);
  void finish_failed(base::call_id id, call& state, const attempt_ended& event);
  void finish(base::call_id id, call& state, const delivery::final_response& response);

  gateway_options options_;
  decision_recorder recorder_;
  routing::router router_;
  limits::limiter limiter_;
  limits::retry_budget retry_budget_;
  delivery::request_registry registry_;
  config::shared_lists lists_;
  std::unordered_map<base::service_id, std::deque<base::call_id>> queues_;
  hedge_schedule hedges_;
  std::optional<routing::probe_budget> probe_budget_;  ///< Set from the first tick on.
  base::instant next_probe_at_ = base::instant::min();
  std::unordered_map<base::call_id, call> calls_;
  std::vector<gateway_action> actions_;
  std::optional<base::instant> cut_at_;  ///< Set while this host is leaving.

  std::map<delivery::host_incarnation, delivery::handed_over_table> handed_over_tables_;
  std::vector<delivery::host_incarnation> handed_over_table_order_;
  std::map<delivery::host_incarnation, base::host_id> successors_;
  std::deque<delivery::host_incarnation> successor_order_;
  /// Repeats of running requests.
  std::unordered_map<base::call_id, waiting_repeat> waiting_repeats_;
  std::unordered_map<base::call_id, base::request_id> forwarded_;
};

}  // namespace catkintack::gateway
