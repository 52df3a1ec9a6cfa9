// Upstreams that announce their departure, ask for a pause or never answer.
#include <gtest/gtest.h>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;
using tests::valid_response;

scripted_reply healthy_reply(const received_request& request) {
  return {.bytes = valid_response(request, "hello")};
}

scripted_reply leaving_reply(const received_request& request) {
  std::string bytes = valid_response(request, "bye");
  bytes.insert(bytes.find("\r\n") + 2, "Catkintack-Leaving: 1\r\n");
  return {.bytes = bytes};
}

scripted_reply pausing_reply(const received_request&) {
  return {.bytes =
              "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\nRetry-After: 30\r\n"
              "Content-Length: 0\r\n\r\n"};
}

TEST(upstream_behaviour, upstream_that_announces_its_departure_gets_no_more_calls_or_probes) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& leaver = world.add("a", leaving_reply);
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("bye"));
  const int probes = leaver.probes;
  world.add_to_directory(leaver);  // The registry still lists it as ready.
  world.add("b", healthy_reply);
  caller.get("two");
  ASSERT_TRUE(caller.wait_for("hello"));
  EXPECT_EQ(leaver.received.size(), 1U);
  EXPECT_EQ(leaver.probes, probes);
}

TEST(upstream_behaviour, departure_announced_with_a_refusal_counts) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& leaver = world.add("a", [](const received_request&) -> scripted_reply {
    return {.bytes =
                "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n"
                "Catkintack-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  EXPECT_FALSE(world.state.accepts_requests(base::upstream_id(leaver.id)));
}

TEST(upstream_behaviour, misdirected_answer_says_nothing_about_the_expected_upstream) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("a", [](const received_request&) -> scripted_reply {
    return {.bytes =
                "HTTP/1.1 421 Misdirected\r\nCatkintack-Leaving: 1\r\n"
                "Content-Length: 0\r\n\r\n"};
  });
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  EXPECT_TRUE(world.state.accepts_requests(base::upstream_id("a")));
}

TEST(upstream_behaviour, upstream_that_asks_for_a_pause_gets_no_more_calls_or_probes) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.fill_repeat_budget();
  auto& paused = world.add("a", pausing_reply);
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  const int probes = paused.probes;
  world.add("b", healthy_reply);
  for (const char* id : {"two", "three", "four"}) {
    caller.received_bytes.clear();
    caller.get(id);
    ASSERT_TRUE(caller.wait_for("hello"));
  }
  EXPECT_EQ(paused.received.size(), 1U);
  EXPECT_EQ(paused.probes, probes);
}

TEST(upstream_behaviour, call_refused_with_a_pause_is_sent_elsewhere_at_once) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.fill_repeat_budget();
  auto& paused = world.add("a", pausing_reply);
  auto& busy = world.add("b", healthy_reply);
  busy.load = "1,0,2,300";
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("hello"));
  EXPECT_EQ(paused.received.size(), 1U);
  EXPECT_EQ(busy.received.size(), 1U);
}

TEST(upstream_behaviour, caller_is_told_when_the_first_paused_upstream_resumes) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& paused = world.add("a", pausing_reply);
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  caller.received_bytes.clear();
  caller.get("two");
  ASSERT_TRUE(caller.wait_for("Retry-After: "));
  const auto at = caller.received_bytes.find("Retry-After: ") + std::string("Retry-After: ").size();
  EXPECT_GE(std::stod(caller.received_bytes.substr(at)), 25);
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 503")) << caller.received_bytes;
  EXPECT_EQ(paused.received.size(), 1U);
}

TEST(upstream_behaviour, repeatable_call_moves_on_from_a_mute_upstream) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable, std::chrono::milliseconds(1200));
  world.fill_repeat_budget();
  auto& mute =
      world.add("a", [](const received_request&) -> scripted_reply { return {.withhold = true}; });
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";  // So that the mute one is chosen first.
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
  EXPECT_EQ(mute.received.size(), 1U);
  EXPECT_EQ(mute.closed_by_gateway, 1);
  EXPECT_EQ(other.received.size(), 1U);
}

TEST(upstream_behaviour, call_that_must_not_run_twice_stays_with_a_mute_upstream) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once, std::chrono::milliseconds(300));
  world.fill_repeat_budget();
  world.add("a", [](const received_request&) -> scripted_reply { return {.withhold = true}; });
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 504")) << caller.received_bytes;
  EXPECT_TRUE(other.received.empty());
}

TEST(upstream_behaviour, call_stays_with_a_mute_upstream_when_no_resend_is_left) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable, std::chrono::milliseconds(300));
  auto& mute =
      world.add("a", [](const received_request&) -> scripted_reply { return {.withhold = true}; });
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 504")) << caller.received_bytes;
  EXPECT_EQ(mute.received.size(), 1U);
  EXPECT_TRUE(other.received.empty());
}

// Incident 08: a stopping host gave up a call that was running, found no other upstream and
// answered 502.
TEST(upstream_behaviour, stopping_host_stays_with_a_silent_upstream) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable, std::chrono::milliseconds(600));
  world.fill_repeat_budget();
  auto& silent =
      world.add("a", [](const received_request&) -> scripted_reply { return {.withhold = true}; });
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(world.run_until([&] { return silent.received.size() == 1; }));
  world.front.stop([](std::size_t) {});
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 504")) << caller.received_bytes;
  EXPECT_TRUE(other.received.empty());
}

}  // namespace
}  // namespace catkintack::serving
