#include "catkintack/gateway/gateway.hpp"

#include <gtest/gtest.h>

namespace catkintack::gateway {
namespace {

class gateway_test : public ::testing::Test {
 protected:
  gateway_test() : core_({}, base::seeded_random_hook(1), [](auto&&...) {}) {
    config::plans_list plans;
    plans.customers[base::customer_id("mercato")] = {base::customer_id("mercato"),
                                                     base::plan_id("gold"), "hash"};
    config::allowances_list allowances;
    const config::allowance entry{base::plan_id("gold"), base::service_id("label-press"), 100, 100,
                                  100};
    allowances.allowances[{entry.plan, entry.service}] = entry;
    core_.handle(now_, lists_adopted{std::make_shared<config::lists>(plans, allowances)});
    core_.handle(now_, upstreams_listed{{make_upstream("u1"), make_upstream("u2")}});
  }

  static routing::upstream_record make_upstream(const std::string& id) {
    routing::upstream_record record;
    record.id = base::upstream_id(id);
    record.service = base::service_id("label-press");
    return record;
  }

  static call_arrived make_call(std::uint64_t call, const std::string& request) {
    call_arrived event;
    event.call = base::call_id(call);
    event.request = base::request_id(request);
    event.key_hash = "hash";
    event.service = base::service_id("label-press");
    return event;
  }

  static attempt_ended make_end(std::uint64_t call, routing::attempt_result result) {
    attempt_ended event;
    event.call = base::call_id(call);
    event.attempt = base::attempt_number(1);
    event.result = result;
    if (result == routing::attempt_result::answered) {
      event.upstream_response = std::make_shared<delivery::upstream_response>(
          delivery::upstream_response{200, {}, "label"});
    }
    return event;
  }

  base::instant now_{};
  gateway core_;
};

TEST_F(gateway_test, repeat_of_a_finished_request_gets_the_recorded_response) {
  core_.handle(now_, make_call(1, "r1"));
  core_.handle(now_, make_end(1, routing::attempt_result::answered));
  const auto actions = core_.handle(now_, make_call(2, "r1"));
  ASSERT_EQ(actions.size(), 1U);
  const auto& response = std::get<finish_call>(actions[0]).response;
  EXPECT_EQ(response.result, delivery::outcome::answer);
  EXPECT_EQ(response.upstream_response->body, "label");
}

TEST_F(gateway_test, broken_non_idempotent_request_is_unknown_and_not_sent_again) {
  core_.handle(now_, make_call(1, "r1"));
  const auto actions = core_.handle(now_, make_end(1, routing::attempt_result::broken));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<finish_call>(actions[0]).response.result, delivery::outcome::unknown);
}

TEST_F(gateway_test, refused_request_is_sent_to_another_upstream) {
  const auto first = core_.handle(now_, make_call(1, "r1"));
  const auto second = core_.handle(now_, make_end(1, routing::attempt_result::refused));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(std::get<send_attempt>(first[0]).target.id,
            std::get<send_attempt>(second[0]).target.id);
}

TEST_F(gateway_test, plan_without_allowance_is_refused_by_name) {
  call_arrived event = make_call(1, "r1");
  core_.handle(now_, upstreams_listed{{[] {
                 routing::upstream_record record = make_upstream("u3");
                 record.service = base::service_id("scan-service");
                 return record;
               }()}});
  event.service = base::service_id("scan-service");
  const auto actions = core_.handle(now_, event);
  EXPECT_EQ(std::get<finish_call>(actions[0]).response.message,
            "plan \"gold\" has no allowance for \"scan-service\"");
}

}  // namespace
}  // namespace catkintack::gateway
