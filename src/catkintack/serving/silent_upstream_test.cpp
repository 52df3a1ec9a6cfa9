// Repeatable calls whose upstream takes long to answer (incident 17).
#include <gtest/gtest.h>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::scripted_upstream;
using tests::serving_fixture;
using tests::valid_response;

constexpr const char* full = "2,2,2,100";
// So that the other upstream is chosen first.
constexpr const char* slower = "0,0,2,150";

/// @brief A host with an upstream "slow" that answers "late" when told to, and another one.
struct silent_upstream : testing::Test {
  void start(const std::string& other_load, scripted_upstream::script other_script) {
    world.set_route(delivery_kind::repeatable, std::chrono::seconds(3));
    world.fill_repeat_budget();
    slow = &world.add("slow", [this](const received_request& request) -> scripted_reply {
      return {.bytes = valid_response(request, "late"), .ready = [this] { return slow_answers; }};
    });
    other = &world.add("other", std::move(other_script));
    other->load = other_load;
  }
  void send(scripted_caller& caller) {
    caller.get("one");
    ASSERT_TRUE(world.run_until([&] { return slow->received.size() == 1; }));
  }
  /// @brief Waits until the host searches for another upstream.
  void wait_for_search() {
    const int probes = other->probes;
    ASSERT_TRUE(world.run_until([&] { return other->probes > probes; }));
  }
  /// @brief Waits until the call was also sent to the other upstream.
  void wait_for_backup() {
    ASSERT_TRUE(world.run_until([&] { return other->received.size() == 1; }));
  }
  static void expect_late_answer(scripted_caller& caller) {
    ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
    EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 200")) << caller.received_bytes;
    EXPECT_TRUE(caller.wait_for("late"));
  }

  serving_fixture world;
  scripted_upstream* slow = nullptr;
  scripted_upstream* other = nullptr;
  bool slow_answers = false;
};

scripted_reply healthy_reply(const received_request& request) {
  return {.bytes = valid_response(request, "hello")};
}

scripted_reply mute_reply(const received_request&) { return {.withhold = true}; }

// Guards against a 502 in place of the answer of an upstream at work, as a stop begins before
// another upstream has room.
TEST_F(silent_upstream, call_is_not_given_up_when_a_stop_begins_before_another_one_has_room) {
  start(full, healthy_reply);
  scripted_caller caller(world);
  send(caller);
  wait_for_search();
  world.front.stop([](std::size_t) {});
  slow_answers = true;
  expect_late_answer(caller);
  EXPECT_EQ(slow->closed_by_gateway, 0);
}

// Guards against giving up an attempt when no other upstream has room, without any stop.
TEST_F(silent_upstream, call_is_not_given_up_before_another_one_has_room) {
  start(full, healthy_reply);
  scripted_caller caller(world);
  send(caller);
  wait_for_search();
  slow_answers = true;
  expect_late_answer(caller);
  EXPECT_TRUE(other->received.empty());
}

// Guards against a 502 when the second upstream refuses the call after the first attempt was given
// up.
TEST_F(silent_upstream, call_is_not_given_up_for_an_upstream_that_refuses_it) {
  start(slower, [](const received_request& request) -> scripted_reply {
    return {.bytes =
                "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n"
                "Catkintack-Request-Id: " +
                std::string(request["Catkintack-Request-Id"]) + "\r\nContent-Length: 0\r\n\r\n"};
  });
  scripted_caller caller(world);
  send(caller);
  wait_for_backup();
  slow_answers = true;
  expect_late_answer(caller);
}

// Guards against a 502 when the second upstream loses the call after the first attempt was given
// up.
TEST_F(silent_upstream, call_is_not_given_up_for_an_upstream_that_breaks_off) {
  start(slower, [](const received_request&) -> scripted_reply { return {.close_after = true}; });
  scripted_caller caller(world);
  send(caller);
  wait_for_backup();
  slow_answers = true;
  expect_late_answer(caller);
}

// Guards against a 502 when a stop begins while the second upstream has the call.
TEST_F(silent_upstream, both_attempts_go_on_when_a_stop_begins) {
  start(slower, mute_reply);
  scripted_caller caller(world);
  send(caller);
  wait_for_backup();
  world.front.stop([](std::size_t) {});
  slow_answers = true;
  expect_late_answer(caller);
}

TEST_F(silent_upstream, answer_of_the_first_ends_the_second_attempt) {
  start(slower, mute_reply);
  scripted_caller caller(world);
  send(caller);
  wait_for_backup();
  EXPECT_EQ(slow->closed_by_gateway, 0);
  slow_answers = true;
  expect_late_answer(caller);
  EXPECT_TRUE(world.run_until([&] { return other->closed_by_gateway == 1; }));
  EXPECT_FALSE(
      world.state.outlier_detector.is_outlier(base::upstream_id("other"), world.state.clock()));
}

TEST_F(silent_upstream, caller_that_leaves_ends_both_attempts) {
  start(slower, mute_reply);
  scripted_caller caller(world);
  send(caller);
  wait_for_backup();
  caller.disconnect();
  EXPECT_TRUE(world.run_until([&] { return other->closed_by_gateway == 1; }));
  EXPECT_TRUE(world.run_until([&] { return slow->closed_by_gateway == 1; }));
}

TEST_F(silent_upstream, deadline_ends_both_attempts) {
  start(slower, mute_reply);
  scripted_caller caller(world);
  send(caller);
  wait_for_backup();
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 504")) << caller.received_bytes;
  EXPECT_TRUE(world.run_until([&] { return other->closed_by_gateway == 1; }));
  EXPECT_TRUE(world.run_until([&] { return slow->closed_by_gateway == 1; }));
}

// Guards against giving up an attempt for a resend that another call uses up meanwhile.
TEST_F(silent_upstream, call_is_not_given_up_when_another_one_uses_the_last_resend) {
  start(slower, healthy_reply);
  scripted_caller caller(world);
  send(caller);
  const base::service_id service("press");
  other->probe_reply = scripted_reply{.withhold = true};
  wait_for_search();
  while (world.state.repeats.try_spend(service, world.state.clock())) {
  }
  other->probe_reply.reset();
  slow_answers = true;
  expect_late_answer(caller);
}

}  // namespace
}  // namespace catkintack::serving
