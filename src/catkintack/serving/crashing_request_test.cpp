// Requests that crash the upstreams that run them.
#include <gtest/gtest.h>

#include <algorithm>

#include "catkintack/serving/request_fingerprint.hpp"
#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;
using tests::valid_response;

scripted_reply crash_on_poison(const received_request& request) {
  if (request.target() == "/p/poison") {
    return {.crash = true};
  }
  return {.bytes = valid_response(request, "hello")};
}

/// @brief Makes one call on a new connection and waits for its final answer.
/// @return The bytes of the answer.
std::string call_once(serving_fixture& world, const std::string& id, const std::string& target) {
  scripted_caller caller(world);
  caller.get(id, target);
  EXPECT_TRUE(caller.wait_for("\r\n\r\n"));
  return caller.received_bytes;
}

int crashed_count(const serving_fixture& world) {
  return static_cast<int>(
      std::ranges::count_if(world.upstreams, [](const auto& one) { return one->crashed; }));
}

/// @brief Number of crashes that the world's only suspect request was lost in.
int known_crashes(const serving_fixture& world) {
  const auto record = world.state.crashes.next_unreported();
  return record ? static_cast<int>(record->crashes.size()) : 0;
}

// Guards against a repeated request that crashes one upstream after another until none is left
// (incident 11).
TEST(crashing_request, reaches_no_more_upstreams_once_it_has_crashed_three) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    world.add(name, crash_on_poison);
  }
  for (int i = 0; i < 12; ++i) {
    call_once(world, "poison-" + std::to_string(i), "/p/poison");
  }
  // Three crashes identify the request; at most three of its repeats may reach an upstream after
  // that.
  constexpr int allowed = 3 + 3;
  EXPECT_LE(crashed_count(world), allowed);
  EXPECT_NE(call_once(world, "other", "/p/x").find("hello"), std::string::npos);
}

// Guards against a resend of a request that the first attempt of the same call identified: the
// check before the first attempt does not cover it. The other upstreams are full, so that a search
// for one of them would end in the answer for a lack of upstreams.
TEST(crashing_request, is_not_sent_again_by_the_call_whose_attempt_completes_the_evidence) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  for (const char* name : {"full-1", "full-2", "full-3", "full-4"}) {
    world.add(name, crash_on_poison).load = "2,4,2,100";
  }
  for (int i = 0; i < 2; ++i) {
    world.add("free-" + std::to_string(i), crash_on_poison);
    call_once(world, "poison-" + std::to_string(i), "/p/poison");
    ASSERT_TRUE(world.run_until([&] { return known_crashes(world) == i + 1; }));
  }
  world.set_route(delivery_kind::repeatable, std::chrono::seconds(2), 2);
  world.fill_repeat_budget();
  world.add("free-2", crash_on_poison);
  const std::string answer = call_once(world, "poison-2", "/p/poison");
  EXPECT_EQ(crashed_count(world), 3);
  EXPECT_NE(answer.find("HTTP/1.1 502"), std::string::npos) << answer;
  EXPECT_NE(answer.find("the upstreams that ran this request crashed"), std::string::npos)
      << answer;
}

TEST(crashing_request, is_refused_at_once_while_others_are_served) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    world.add(name, crash_on_poison);
  }
  for (int i = 0; i < 3; ++i) {
    const std::string answer = call_once(world, "poison-" + std::to_string(i), "/p/poison");
    EXPECT_NE(answer.find("HTTP/1.1 502"), std::string::npos) << answer;
    EXPECT_TRUE(world.run_until([&] { return known_crashes(world) == i + 1; }));
  }
  const std::string refused = call_once(world, "poison-3", "/p/poison");
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos) << refused;
  EXPECT_NE(refused.find("Retry-After: 86400.000"), std::string::npos) << refused;
  EXPECT_EQ(crashed_count(world), 3);
  EXPECT_NE(call_once(world, "other", "/p/x").find("hello"), std::string::npos);
}

// Guards against a quarantine of requests whose connections are reset while the upstream lives.
TEST(crashing_request, broken_connection_to_a_living_upstream_is_no_crash) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  for (const char* name : {"a", "b", "c"}) {
    world.add(name,
              [](const received_request&) -> scripted_reply { return {.close_after = true}; });
  }
  for (int i = 0; i < 8; ++i) {
    const std::string answer = call_once(world, "call-" + std::to_string(i), "/p/x");
    EXPECT_NE(answer.find("HTTP/1.1 502"), std::string::npos) << answer;
  }
  EXPECT_TRUE(world.state.crashes.empty());
}

// Guards against a quarantine of the calls that a host had in progress when it lost its links.
TEST(crashing_request, host_that_reaches_no_upstream_records_no_crash) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& first = world.add("a", crash_on_poison);
  auto& second = world.add("b", crash_on_poison);
  call_once(world, "one", "/p/poison");
  call_once(world, "two", "/p/poison");
  ASSERT_TRUE(first.crashed && second.crashed);
  ASSERT_TRUE(world.run_until([&] {
    return world.state.metrics.prometheus_text().find("crash_checks_undecided_total 1") !=
           std::string::npos;
  }));
  // The first crash is one, as the second upstream answered then.
  EXPECT_EQ(known_crashes(world), 1);
}

TEST(crashing_request, answered_request_is_cleared) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  bool poisonous = true;
  const auto answer = [&](const received_request& request) -> scripted_reply {
    return poisonous ? scripted_reply{.crash = true}
                     : scripted_reply{.bytes = valid_response(request, "hello")};
  };
  for (const char* name : {"a", "b", "c", "d"}) {
    world.add(name, answer);
  }
  std::vector<choice::crash_record> cleared;
  world.state.on_request_cleared = [&](const auto& record) { cleared.push_back(record); };
  call_once(world, "one", "/p/x");
  ASSERT_TRUE(world.run_until([&] { return !world.state.crashes.empty(); }));
  poisonous = false;
  EXPECT_NE(call_once(world, "two", "/p/x").find("hello"), std::string::npos);
  EXPECT_EQ(cleared.size(), 1U);
  EXPECT_TRUE(world.state.crashes.empty());
}

TEST(request_fingerprint, depends_on_what_is_asked_for_and_not_on_the_attempt) {
  call one;
  one.id = "a";
  one.method = "POST";
  one.target = "/p/x";
  one.headers.set(http::field::host, "a.example");
  one.body = "body";
  call other = one;
  other.id = "b";
  other.headers.set("Catkintack-Time-Left-Ms", "17");
  EXPECT_EQ(fingerprint_of(one), fingerprint_of(other));
  const auto differs = [&](const auto& change) {
    call changed = one;
    change(changed);
    return fingerprint_of(changed) != fingerprint_of(one);
  };
  EXPECT_TRUE(differs([](call& it) { it.method = "PUT"; }));
  EXPECT_TRUE(differs([](call& it) { it.target = "/p/y"; }));
  EXPECT_TRUE(differs([](call& it) { it.body = "boby"; }));
  EXPECT_TRUE(differs([](call& it) { it.headers.set(http::field::host, "b.example"); }));
  EXPECT_TRUE(differs([](call& it) { it.headers.set(http::field::authorization, "Bearer k"); }));
}

}  // namespace
}  // namespace catkintack::serving
