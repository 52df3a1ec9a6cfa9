/// @file
/// A model of several hosts, their callers and upstreams, for property tests of delivery.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "catkintack/gateway/gateway.hpp"

namespace catkintack::gateway {

/// @brief Hosts that are killed, frozen, stopped and cut off between any two steps.
class fleet_model {
 public:
  explicit fleet_model(std::size_t hosts);

  /// @brief Takes one step.
  /// @param choice Decides which one, and with what result.
  void step(std::uint64_t choice);

  /// @brief The first broken promise.
  /// @return Its description; empty when all were kept.
  const std::string& fault() const { return fault_; }
  /// @brief Requests that ran.
  /// @return Their number.
  std::size_t ids_run() const { return runs_.size(); }

 private:
  struct host {
    delivery::host_incarnation self;
    std::unique_ptr<gateway> core;
    bool frozen = false;
    std::deque<gateway_event> pending;  // Arrived while frozen.
  };

  /// An attempt that an upstream has not ended.
  struct exchange {
    std::size_t host = 0;
    delivery::host_incarnation sender;
    base::call_id call;
    base::attempt_number attempt;
    base::request_id request;
  };

  /// A call sent on, or the answer on its way back.
  struct message {
    std::size_t sender = 0;
    delivery::host_incarnation sender_home;
    base::call_id call;
    base::host_id to;
    call_arrived event;
  };

  void start(std::size_t index);
  void send_new(std::uint64_t choice);
  void repeat(std::uint64_t choice);
  void end_exchange(std::uint64_t choice);
  void deliver_forward(std::uint64_t choice);
  void stop(std::uint64_t choice);
  void announce(const delivery::host_incarnation& leaver,
                std::size_t successor,
                std::uint64_t choice);
  void feed(std::size_t index, const gateway_event& event);
  void handle(std::size_t index, const gateway_event& event);
  void thaw(std::size_t index);
  void advance();
  void on(std::size_t index, const send_attempt& action);
  void on(std::size_t index, const forward_call& action);
  void on(std::size_t index, const finish_call& action);
  void on(std::size_t index, const cancel_attempt& action);
  void on(std::size_t index, const publish_demand& action);
  void on(std::size_t index, const send_probe& action);
  void check(const base::request_id& id, const delivery::final_response& end, bool decided_here);
  void arrive(std::size_t index, const base::request_id& id, bool forwarded, const message* origin);

  /// Who waits for a call: a caller, or the host that sent the call on.
  struct open_call {
    base::request_id request;
    bool forwarded = false;
    message origin;
  };

  std::vector<host> hosts_;
  std::vector<exchange> exchanges_;
  std::vector<message> forwards_;
  std::map<std::pair<delivery::host_incarnation, base::call_id>, open_call> calls_;
  std::map<base::request_id, int> runs_;
  std::vector<base::request_id> ids_;
  std::uint64_t last_run_ = 0;
  std::uint64_t last_call_ = 0;
  base::instant now_{};
  bool answering_forward_ = false;
  std::string fault_;
};

}  // namespace catkintack::gateway
