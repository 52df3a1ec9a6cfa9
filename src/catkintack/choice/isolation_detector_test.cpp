#include "catkintack/choice/isolation_detector.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

const base::instant now{std::chrono::seconds(10)};

void lose(isolation_detector& detector, std::initializer_list<const char*> upstreams) {
  for (const char* id : upstreams) {
    detector.on_unreachable(base::upstream_id(id));
  }
}

TEST(isolation_detector, is_suspected_after_three_different_upstreams_in_a_row) {
  isolation_detector detector;
  lose(detector, {"a", "b", "b", "a"});
  EXPECT_FALSE(detector.suspected(10));
  lose(detector, {"c"});
  EXPECT_TRUE(detector.suspected(10));
  EXPECT_FALSE(detector.isolated());
  detector.on_connected();
  EXPECT_FALSE(detector.suspected(10));
}

TEST(isolation_detector, all_upstreams_of_a_small_fleet_are_enough) {
  isolation_detector detector;
  EXPECT_FALSE(detector.suspected(0));
  lose(detector, {"a"});
  EXPECT_FALSE(detector.suspected(2));
  EXPECT_TRUE(detector.suspected(1));
}

TEST(isolation_detector, ends_only_when_half_of_the_upstreams_are_reached) {
  isolation_detector detector;
  detector.on_check(1, 4, now);
  EXPECT_FALSE(detector.isolated());
  detector.on_check(0, 4, now);
  EXPECT_TRUE(detector.isolated());
  detector.on_check(1, 4, now + std::chrono::seconds(1));
  EXPECT_TRUE(detector.isolated());
  EXPECT_EQ(detector.isolated_since(), now);
  detector.on_check(2, 4, now);
  EXPECT_FALSE(detector.isolated());
}

// Guards against a fleet of which most upstreams are down: every host may take itself for isolated,
// and none would find the upstreams that are left.
TEST(isolation_detector, some_calls_search_while_no_other_host_takes_them) {
  isolation_detector detector;
  detector.on_check(0, 4, now);
  EXPECT_TRUE(detector.may_search(now));
  EXPECT_FALSE(detector.may_search(now + std::chrono::milliseconds(100)));
  EXPECT_TRUE(detector.may_search(now + std::chrono::milliseconds(200)));
  detector.on_connected();
  EXPECT_TRUE(detector.may_search(now + std::chrono::milliseconds(201)));
  EXPECT_TRUE(detector.may_search(now + std::chrono::milliseconds(202)));
  detector.on_check(0, 4, now + std::chrono::milliseconds(300));
  EXPECT_FALSE(detector.may_search(now + std::chrono::milliseconds(301)));
}

}  // namespace
}  // namespace catkintack::choice
