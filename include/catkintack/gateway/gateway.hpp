/// @file
/// The decision core: events in, actions out, without clock, thread, socket or random source.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "catkintack/base/event_record.hpp"
#include "catkintack/base/hooks.hpp"
#include "catkintack/delivery/request_registry.hpp"
#include "catkintack/gateway/gateway_action.hpp"
#include "catkintack/gateway/gateway_event.hpp"
#include "catkintack/limits/limiter.hpp"
#include "catkintack/routing/router.hpp"

namespace catkintack::gateway {

/// Takes a decision for the time line.
using decision_recorder = std::function<void(std::string part,
                                             std::string kind,
                                             const base::request_id& request,
                                             std::vector<base::event_field> fields)>;

/// @brief How the core decides.
struct gateway_options {
  routing::router_options routing;
  delivery::registry_options registry;
  base::duration default_time_left = std::chrono::seconds(5);  ///< For callers without deadline.
  std::uint32_t max_attempts = 3;                              ///< Per call, at least 1.
};

/// @brief Decides for every call of one host. Not thread-safe; each event is a short step.
class gateway {
 public:
  gateway(gateway_options options, base::random_hook random, decision_recorder recorder);

  /// @brief Takes in an event.
  /// @param now The time; never less than at the event before.
  /// @param event The event.
  /// @return What is to be done, in order.
  std::vector<gateway_action> handle(base::instant now, const gateway_event& event);

 private:
  struct call {
    base::request_id request;
    base::customer_id customer;
    base::service_id service;
    bool idempotent = false;
    base::instant deadline{};
    base::instant sent_at{};
    base::attempt_number last_attempt;
    std::vector<base::upstream_id> tried;
    bool may_have_run = false;
  };

  void on(base::instant now, const call_arrived& event);
  void on(base::instant now, const attempt_ended& event);
  void on(base::instant now, const tick& event);
  void on(base::instant now, const lists_adopted& event);
  void on(base::instant now, const upstreams_listed& event);
  void on(base::instant now, const fleet_sized& event);

  void admit(base::instant now, const call_arrived& event);
  void start(base::instant now, const call_arrived& event, const base::customer_id& customer);
  bool attempt(base::instant now, base::call_id id, call& state);
  bool may_retry(base::instant now, const call& state) const;
  void finish(base::call_id id, call& state, const delivery::final_answer& end);
  void refuse(const call_arrived& event, int status, std::string message);

  gateway_options options_;
  decision_recorder recorder_;
  routing::router router_;
  limits::limiter limiter_;
  delivery::request_registry registry_;
  config::shared_lists lists_;
  std::unordered_map<base::call_id, call> calls_;
  std::vector<gateway_action> actions_;
};

}  // namespace catkintack::gateway
