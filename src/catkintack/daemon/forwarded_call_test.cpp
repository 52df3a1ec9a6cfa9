#include "forwarded_call.hpp"

#include <gtest/gtest.h>

namespace catkintack::daemon {
namespace {

// Forwarding a call to the host that issued its request id must not reset its retry budget.
TEST(forwarded_call, preserves_depth_and_retry_budget) {
  gateway::call_arrived event;
  event.request = base::request_id("gw-1.7.3.a");
  event.depth = 4;
  event.retries_left = 2;
  const gateway::call_arrived arrived =
      to_event(to_message(event, {"POST", "/labels", {}, "lot 7"}, std::chrono::seconds(1)));
  EXPECT_EQ(arrived.request, event.request);
  EXPECT_EQ(arrived.depth, 4U);
  EXPECT_EQ(arrived.retries_left, 2U);
  EXPECT_EQ(arrived.time_left, base::duration(std::chrono::seconds(1)));
  EXPECT_TRUE(arrived.forwarded);
}

}  // namespace
}  // namespace catkintack::daemon
