#include "catkintack/choice/route_statistics.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;

TEST(route_statistics, work_is_freed_of_the_machines_slowness) {
  route_statistics experience;
  experience.on_response("r", milliseconds(800), {0, 0, 3, 4.0}, 1000);
  EXPECT_EQ(experience.service_time("r", {}).typical, milliseconds(200));
  EXPECT_EQ(experience.exchanged_bytes("r"), 1000U);
}

TEST(route_statistics, knows_nothing_before_the_first_answer) {
  const route_statistics experience;
  EXPECT_EQ(experience.service_time("r", milliseconds(100)).typical, milliseconds(100));
  EXPECT_GT(experience.exchanged_bytes("r"), 0U);
}

TEST(route_statistics, time_in_a_queue_is_no_work) {
  route_statistics experience;
  experience.on_response("r", milliseconds(100), {0, 0, 3, 1.0}, 1000);
  experience.on_response("r", milliseconds(900), {3, 4, 3, 1.0}, 1000);
  EXPECT_EQ(experience.service_time("r", {}).typical, milliseconds(100));
}

TEST(upstreams_slow_when_full, slowdown_is_learnt_from_the_last_slot) {
  route_statistics experience;
  experience.on_response("r", milliseconds(100), {0, 0, 3, 1.0}, 1000);
  experience.on_response("r", milliseconds(180), {2, 0, 3, 1.0}, 1000);
  EXPECT_NEAR(experience.service_time("r", {}).saturated_slowdown, 1.8, 0.001);
}

// Taking the callers' different patience for time spent made hosts give up the objective of calls
// that had just arrived.
TEST(callers_of_different_patience, first_attempts_count_as_such) {
  route_statistics experience;
  EXPECT_EQ(experience.on_deadline("r", milliseconds(1600)), base::duration::zero());
  EXPECT_EQ(experience.on_deadline("r", milliseconds(1400)), base::duration::zero());
}

TEST(callers_of_different_patience, much_shorter_deadline_tells_a_caller_that_came_back) {
  route_statistics experience;
  experience.on_deadline("r", milliseconds(1000));
  EXPECT_EQ(experience.on_deadline("r", milliseconds(520)), milliseconds(400));
}

}  // namespace
}  // namespace catkintack::choice
