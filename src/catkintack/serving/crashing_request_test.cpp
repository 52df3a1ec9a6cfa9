// Requests that crash the upstreams that run them.
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

}  // namespace
}  // namespace catkintack::serving
