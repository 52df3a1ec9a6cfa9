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

}  // namespace
}  // namespace catkintack::serving
