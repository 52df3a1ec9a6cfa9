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
  world.add("a", greet);
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
  split_fleet() {
    for (serving_fixture* const host : {&cut_off, &neighbour}) {
      host->set_route(delivery_kind::at_most_once);
    }
    for (const char* name : {"a", "b", "c"}) {
      upstreams.push_back(&neighbour.add(name, greet));
    }
    add_unreachable(cut_off, {"a", "b", "c"});
  }

  bool run_until(const std::function<bool()>& condition) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < give_up_at) {
      cut_off.io.run_one_for(std::chrono::milliseconds(1));
      neighbour.io.run_one_for(std::chrono::milliseconds(1));
    }
    return condition();
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
  serving_fixture neighbour;
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

}  // namespace
}  // namespace catkintack::serving
