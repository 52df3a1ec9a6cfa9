// Hosts that have lost their links to all upstreams.
#include <gtest/gtest.h>

#include <algorithm>

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

scripted_reply greet(const received_request& request) {
  return {.bytes = valid_response(request, "hello")};
}

/// @brief Lists upstreams at addresses where this host finds no listener.
void add_unreachable(serving_fixture& world, std::initializer_list<const char*> names) {
  for (const char* name : names) {
    directory::endpoint entry;
    entry.record.id = base::upstream_id(name);
    entry.record.service = base::service_id("press");
    entry.record.where = {"127.0.0.1", 1};
    entry.record.region = world.state.options.region;
    entry.record.slots = 2;
    world.state.upstreams.upsert(entry, world.state.clock());
  }
}

bool has_logged(const serving_fixture& world, const std::string& event) {
  return std::ranges::any_of(world.log_lines, [&](const std::string& line) {
    return line.find("event=" + event) != std::string::npos;
  });
}

TEST(isolation, host_notices_that_it_reaches_no_upstream_and_that_it_does_again) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  add_unreachable(world, {"a", "b", "c", "d"});
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(world.run_until([&] { return has_logged(world, "upstreams_unreachable"); }));
  EXPECT_TRUE(world.state.isolation.isolated());
  for (const char* name : {"a", "b", "c"}) {
    world.add(name, greet);
  }
  ASSERT_TRUE(world.run_until([&] { return has_logged(world, "upstreams_reached"); }));
  EXPECT_FALSE(world.state.isolation.isolated());
}

// Guards against a service that has failed as a whole being taken for lost links of the host.
TEST(isolation, failed_service_is_no_isolation_while_another_is_reached) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  add_unreachable(world, {"a", "b", "c", "d"});
  auto& other = world.add("other", greet);
  directory::endpoint entry = world.state.upstreams.find(base::upstream_id("other"))->listed;
  entry.record.service = base::service_id("ledger");
  world.state.upstreams.upsert(entry, world.state.clock());
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  ASSERT_TRUE(world.run_until([&] { return other.connections > 0; }));
  EXPECT_FALSE(world.state.isolation.isolated());
}

/// @brief A host without links to the upstreams and one with them, which it can reach.
struct split_fleet {
  explicit split_fleet(delivery_kind delivery = delivery_kind::at_most_once,
                       const scripted_upstream::script& answer = greet) {
    for (serving_fixture* const host : {&cut_off, &neighbour}) {
      host->set_route(delivery);
    }
    for (const char* name : {"a", "b", "c"}) {
      upstreams.push_back(&neighbour.add(name, answer));
    }
    add_unreachable(cut_off, {"a", "b", "c"});
    offer_relay();
  }

  /// @brief Makes the offer of the neighbour known to the other host.
  void offer_relay() {
    cut_off.state.relays.on_offer(neighbour.state.options.relays,
                                  {.available = neighbour.state.can_relay()},
                                  cut_off.state.clock());
  }

  bool run_until(const std::function<bool()>& condition) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < give_up_at) {
      cut_off.io.run_one_for(std::chrono::milliseconds(1));
      neighbour.io.run_one_for(std::chrono::milliseconds(1));
    }
    return condition();
  }
  /// @brief Makes calls until the host without links has noticed it.
  void isolate() {
    for (int i = 0; !cut_off.state.isolation.isolated() && i < 20; ++i) {
      call_once("early-" + std::to_string(i));
    }
    ASSERT_TRUE(cut_off.state.isolation.isolated());
    offer_relay();
  }
  std::size_t runs() const {
    std::size_t count = 0;
    for (const auto* const upstream : upstreams) {
      count += upstream->received.size();
    }
    return count;
  }
  /// @brief Makes one call through the host without links.
  std::string call_once(const std::string& id) {
    scripted_caller caller(cut_off);
    caller.get(id);
    EXPECT_TRUE(
        run_until([&] { return caller.received_bytes.find("\r\n\r\n") != std::string::npos; }));
    return caller.received_bytes;
  }

  serving_fixture cut_off;
  serving_fixture neighbour{
      [](serving_options& options) { options.relays = tests::free_address(); }};
  std::vector<tests::scripted_upstream*> upstreams;
};

// Guards against a host that has lost its links to all upstreams and refuses its callers, although
// it can reach hosts that have not (incident 12).
TEST(isolation, callers_of_a_cut_off_host_are_served_through_another_host) {
  split_fleet fleet;
  constexpr int calls = 50;
  int served = 0;
  for (int i = 0; i < calls; ++i) {
    const std::string answer = fleet.call_once("call-" + std::to_string(i));
    served += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
  }
  // 10 and one in 50 may fail while the host notices.
  EXPECT_GE(served, calls - (10 + calls / 50));
}

TEST(isolation, relayed_call_runs_once_and_unchanged) {
  split_fleet fleet;
  fleet.isolate();
  const std::size_t before = fleet.runs();
  scripted_caller caller(fleet.cut_off);
  caller.send(
      "POST /p/x?q=1 HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n"
      "Catkintack-Time-Left-Ms: 4000\r\nX-Own: kept\r\nContent-Length: 4\r\n\r\nbody");
  ASSERT_TRUE(
      fleet.run_until([&] { return caller.received_bytes.find("hello") != std::string::npos; }));
  EXPECT_EQ(fleet.runs(), before + 1);
  for (const auto* const upstream : fleet.upstreams) {
    for (const received_request& request : upstream->received) {
      if (request["Catkintack-Request-Id"] == "one") {
        EXPECT_EQ(request.target(), "/p/x?q=1");
        EXPECT_EQ(request.body(), "body");
        EXPECT_EQ(request["X-Own"], "kept");
        EXPECT_EQ(request["Catkintack-Expected-Upstream"], upstream->id);
        EXPECT_LE(std::stoi(std::string(request["Catkintack-Time-Left-Ms"])), 4000);
      }
    }
  }
}

// Guards against hosts that send a call to each other although none of them reaches an upstream.
TEST(isolation, relayed_call_is_not_relayed_further) {
  split_fleet fleet;
  fleet.isolate();
  fleet.neighbour.state.isolation.on_check(0, 4, fleet.neighbour.state.clock());
  fleet.neighbour.state.relays.on_offer(fleet.neighbour.state.options.relays, {.available = true},
                                        fleet.neighbour.state.clock());
  const std::size_t before = fleet.runs();
  const std::string answer = fleet.call_once("one");
  EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After: 0.500"), std::string::npos) << answer;
  EXPECT_EQ(fleet.runs(), before);
}

TEST(isolation, refusal_of_the_other_host_reaches_the_caller) {
  split_fleet fleet;
  fleet.isolate();
  for (auto* const upstream : fleet.upstreams) {
    upstream->load = "2,90,2,100";
  }
  // Part of the time is random; the least of it tells it from that of the host without links.
  fleet.neighbour.state.options.placement.min_retry_after = std::chrono::milliseconds(700);
  const std::string answer = fleet.call_once("one");
  EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
  const std::string field = "Retry-After: ";
  ASSERT_NE(answer.find(field), std::string::npos) << answer;
  EXPECT_GE(std::stod(answer.substr(answer.find(field) + field.size())), 0.7) << answer;
  // That is what a host without any other host to ask would say.
  EXPECT_EQ(answer.find("Retry-After: 0.500"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("Catkintack-Not-Run"), std::string::npos) << answer;
}

TEST(isolation, host_without_the_route_is_not_asked_to_decide) {
  split_fleet fleet;
  fleet.isolate();
  fleet.neighbour.state.table = std::make_shared<const routes::route_table>(
      routes::route_table_builder(base::list_version(9)).build());
  const std::string answer = fleet.call_once("one");
  EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
}

// Guards against a second run of a call whose relay ended without an answer.
TEST(isolation, call_is_not_sent_again_if_the_other_host_lost_its_answer) {
  split_fleet fleet(delivery_kind::at_most_once, [](const received_request&) -> scripted_reply {
    return {.close_after = true};
  });
  fleet.isolate();
  const std::size_t before = fleet.runs();
  const std::string answer = fleet.call_once("one");
  EXPECT_NE(answer.find("HTTP/1.1 502"), std::string::npos) << answer;
  EXPECT_EQ(fleet.runs(), before + 1);
}

TEST(isolation, upstream_is_released_when_the_caller_leaves) {
  split_fleet fleet(delivery_kind::repeatable,
                    [](const received_request&) -> scripted_reply { return {.withhold = true}; });
  fleet.cut_off.state.isolation.on_check(0, 4, fleet.cut_off.state.clock());
  fleet.offer_relay();
  scripted_caller caller(fleet.cut_off);
  caller.get("one");
  ASSERT_TRUE(fleet.run_until([&] { return fleet.runs() == 1; }));
  caller.disconnect();
  EXPECT_TRUE(fleet.run_until([&] {
    return std::ranges::any_of(fleet.upstreams,
                               [](const auto* one) { return one->closed_by_gateway > 0; });
  }));
}

TEST(isolation, host_seeks_an_upstream_for_a_call_that_no_other_host_takes) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("a", greet);
  world.state.isolation.on_check(0, 4, world.state.clock());
  scripted_caller caller(world);
  caller.get("one");
  EXPECT_TRUE(caller.wait_for("hello"));
}

/// @brief Begins a stop in which a call with a deadline of 4 s may outlast the stop limit.
void begin_short_stop(serving_fixture& host) {
  host.state.options.stop_estimates_for = {};
  host.state.options.stop_limit = std::chrono::seconds(1);
  host.front.stop([](std::size_t) {});
}

// Guards against a stopping host that takes calls of other hosts and cuts them (incident 13).
TEST(isolation, stopping_host_does_not_take_relayed_calls_that_may_outlast_it) {
  split_fleet fleet;
  fleet.isolate();
  for (serving_fixture* const host : {&fleet.cut_off, &fleet.neighbour}) {
    host->set_route(delivery_kind::at_most_once, std::chrono::seconds(60), 2);
  }
  const std::size_t runs = fleet.runs();
  begin_short_stop(fleet.neighbour);
  const std::string answer = fleet.call_once("one");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_TRUE(has_logged(fleet.neighbour, "request_refused"));
  EXPECT_EQ(fleet.runs(), runs);
}

// Guards against a stopping host that relays calls which may outlast it (incident 13).
TEST(isolation, stopping_host_does_not_relay_calls_that_may_outlast_it) {
  split_fleet fleet;
  fleet.isolate();
  fleet.cut_off.set_route(delivery_kind::at_most_once, std::chrono::seconds(60), 2);
  const std::size_t runs = fleet.runs();
  begin_short_stop(fleet.cut_off);
  const std::string answer = fleet.call_once("one");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find("this host stops"), std::string::npos) << answer;
  EXPECT_EQ(fleet.runs(), runs);
}

}  // namespace
}  // namespace catkintack::serving
