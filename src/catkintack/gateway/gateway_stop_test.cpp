// Requests that arrive while a host is leaving.
#include <gtest/gtest.h>

#include "catkintack/gateway/gateway.hpp"

namespace catkintack::gateway {
namespace {

const base::service_id service("press");
const base::instant leaves_at{std::chrono::seconds(100)};
constexpr auto stop_limit = std::chrono::seconds(30);

/// @brief A leaving host with one idle upstream, whose open calls are cut at the stop limit.
class leaving_gateway : public testing::Test {
 protected:
  leaving_gateway() : core_(make_options(), base::seeded_random_hook(1), [](auto&&...) {}) {
    config::plans_list plans;
    const base::customer_id customer("mercato");
    plans.customers[customer] = {customer, base::plan_id("gold"), "hash"};
    config::allowances_list allowances;
    const config::allowance entry{base::plan_id("gold"), service, 1e6, 1'000'000, 1'000};
    allowances.allowances[{entry.plan, entry.service}] = entry;
    core_.handle(leaves_at, lists_adopted{std::make_shared<config::lists>(plans, allowances)});
    routing::upstream_record upstream;
    upstream.id = base::upstream_id("u");
    upstream.service = service;
    upstream.slots = 100;
    core_.handle(leaves_at, upstreams_listed{{upstream}});
    core_.handle(leaves_at, leave_begun{leaves_at + stop_limit});
  }

  static gateway_options make_options() {
    gateway_options options;
    options.self = {base::host_id("gw-1"), base::incarnation(7)};
    return options;
  }

  /// @brief A request with a deadline of 20 s arrives some time after the stop began.
  std::vector<gateway_action> arrive(base::duration after, const std::string& id, bool idempotent) {
    call_arrived event;
    event.call = base::call_id(++last_call_);
    event.request = base::request_id(id);
    event.key_hash = "hash";
    event.service = service;
    event.idempotent = idempotent;
    event.time_left = std::chrono::seconds(20);
    return core_.handle(leaves_at + after, event);
  }

  static bool is_sent(const std::vector<gateway_action>& actions) {
    return actions.size() == 1 && std::holds_alternative<send_attempt>(actions[0]);
  }
  static delivery::outcome outcome_of(const std::vector<gateway_action>& actions) {
    return std::get<finish_call>(actions.at(0)).response.result;
  }

  gateway core_;
  std::uint64_t last_call_ = 0;
};

// Guards against refusing requests for the stop that end before it.
TEST_F(leaving_gateway, starts_a_request_whose_deadline_passes_before_the_stop_limit) {
  EXPECT_TRUE(is_sent(arrive(std::chrono::seconds(10), "", true)));
}

// Guards against requests that are accepted late in a stop and cut without an answer (incident 13).
TEST_F(leaving_gateway, refuses_a_request_that_may_outlast_the_stop_limit) {
  for (const bool idempotent : {true, false}) {
    const std::string id = idempotent ? "" : "gw-1.7.0.x";
    EXPECT_EQ(outcome_of(arrive(std::chrono::seconds(11), id, idempotent)),
              delivery::outcome::not_run);
  }
}

// Guards against "not run" for the repeat of a request that may have run at its own host.
TEST_F(leaving_gateway, does_not_forward_a_request_that_may_outlast_the_stop_limit) {
  EXPECT_EQ(outcome_of(arrive(std::chrono::seconds(11), "gw-2.3.0.x", false)),
            delivery::outcome::unknown);
}

// Guards against "not run" for the repeat of a request that is running here.
TEST_F(leaving_gateway, keeps_the_repeat_of_a_running_request_waiting) {
  ASSERT_TRUE(is_sent(arrive(std::chrono::seconds(1), "gw-1.7.0.x", false)));
  EXPECT_TRUE(arrive(std::chrono::seconds(11), "gw-1.7.0.x", false).empty());
}

}  // namespace
}  // namespace catkintack::gateway
