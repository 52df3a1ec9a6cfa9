#include "catkintack/choice/route_statistics.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;

TEST(route_statistics, service_time_excludes_machine_slowdown) {
  route_statistics statistics;
  statistics.on_response("r", milliseconds(800), {0, 0, 3, 4.0}, 1000);
  EXPECT_EQ(statistics.service_time("r", {}).typical, milliseconds(200));
  EXPECT_EQ(statistics.exchanged_bytes("r"), 1000U);
}

TEST(route_statistics, returns_defaults_before_first_response) {
  const route_statistics statistics;
  EXPECT_EQ(statistics.service_time("r", milliseconds(100)).typical, milliseconds(100));
  EXPECT_GT(statistics.exchanged_bytes("r"), 0U);
}

TEST(route_statistics, service_time_excludes_queueing) {
  route_statistics statistics;
  statistics.on_response("r", milliseconds(100), {0, 0, 3, 1.0}, 1000);
  statistics.on_response("r", milliseconds(900), {3, 4, 3, 1.0}, 1000);
  EXPECT_EQ(statistics.service_time("r", {}).typical, milliseconds(100));
}

TEST(saturated_upstreams, slowdown_is_measured_on_last_slot) {
  route_statistics statistics;
  statistics.on_response("r", milliseconds(100), {0, 0, 3, 1.0}, 1000);
  statistics.on_response("r", milliseconds(180), {2, 0, 3, 1.0}, 1000);
  EXPECT_NEAR(statistics.service_time("r", {}).saturated_slowdown, 1.8, 0.001);
}

// When a shorter deadline was mistaken for elapsed time, hosts gave up on the latency objective of
// calls that had just arrived.
TEST(callers_with_different_deadlines, first_attempts_are_not_taken_for_retries) {
  route_statistics statistics;
  EXPECT_EQ(statistics.on_deadline("r", milliseconds(1600)), base::duration::zero());
  EXPECT_EQ(statistics.on_deadline("r", milliseconds(1400)), base::duration::zero());
}

TEST(callers_with_different_deadlines, much_shorter_deadline_indicates_retry) {
  route_statistics statistics;
  statistics.on_deadline("r", milliseconds(1000));
  EXPECT_EQ(statistics.on_deadline("r", milliseconds(520)), milliseconds(400));
}

}  // namespace
}  // namespace catkintack::choice
