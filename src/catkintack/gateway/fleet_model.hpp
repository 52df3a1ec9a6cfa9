/// @file
/// Model of several hosts with their callers and upstreams, for property tests of delivery.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "catkintack/gateway/gateway.hpp"

namespace catkintack::gateway {

/// @brief Simulates hosts that are killed, frozen, stopped and cut off between any two steps.
class fleet_model {
 public:
  explicit fleet_model(std::size_t hosts);

  /// @brief Performs one step.
  /// @param choice Selects the step and its result.
  void step(std::uint64_t choice);

  /// @brief Returns the description of an invariant violation; empty if there was none.
  const std::string& violation() const { return violation_; }
  /// @brief Returns the number of requests that ran.
  std::size_t requests_run() const { return runs_.size(); }

 private:
  struct host {
    delivery::host_incarnation self;
    std::unique_ptr<gateway> core;
    bool frozen = false;
    std::deque<gateway_event> pending;  // Events that arrived while frozen.
  };

  /// An attempt that the upstream has not finished.
  struct open_attempt {
    std::size_t host = 0;
    delivery::host_incarnation sender;
    base::call_id call;
    base::attempt_number attempt;
    base::request_id request;
  };

  /// A call forwarded to another host. The receiving host's open_call holds a copy, for returning
  /// the response to the sender.
  struct forwarded_call {
    std::size_t sender = 0;
    delivery::host_incarnation sender_incarnation;
    base::call_id call;
    base::host_id to;
    call_arrived event;
  };

  void start(std::size_t index);
  void send_new_request(std::uint64_t choice);
  void repeat(std::uint64_t choice);
  void end_attempt(std::uint64_t choice);
  void deliver_forward(std::uint64_t choice);
  void stop(std::uint64_t choice);
  void announce_successor(const delivery::host_incarnation& predecessor,
                          std::size_t successor,
                          std::uint64_t choice);
  /// Passes an event to a host, or keeps it for later while the host is frozen.
  void feed(std::size_t index, const gateway_event& event);
  /// Passes an event to a host's core and performs the resulting actions.
  void handle(std::size_t index, const gateway_event& event);
  void unfreeze(std::size_t index);
  /// Advances the simulated time by two seconds.
  void advance();
  void on(std::size_t index, const send_attempt& action);
  void on(std::size_t index, const forward_call& action);
  void on(std::size_t index, const finish_call& action);
  void on(std::size_t index, const cancel_attempt& action);
  void on(std::size_t index, const publish_demand& action);
  void on(std::size_t index, const send_probe& action);
  void check(const base::request_id& id,
             const delivery::final_response& response,
             bool decided_here);
  void arrive(std::size_t index,
              const base::request_id& id,
              bool forwarded,
              const forwarded_call* origin);

  /// A call in progress, and the party that waits for it: a caller, or the host that forwarded the
  /// call.
  struct open_call {
    base::request_id request;
    bool forwarded = false;
    forwarded_call origin;
  };

  std::vector<host> hosts_;
  std::vector<open_attempt> open_attempts_;
  std::vector<forwarded_call> forwards_;
  std::map<std::pair<delivery::host_incarnation, base::call_id>, open_call> calls_;
  std::map<base::request_id, int> runs_;
  std::vector<base::request_id> ids_;
  std::uint64_t last_run_ = 0;
  std::uint64_t last_call_ = 0;
  base::instant now_{};
  bool relaying_response_ = false;
  std::string violation_;
};

}  // namespace catkintack::gateway
