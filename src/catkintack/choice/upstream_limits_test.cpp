#include "catkintack/choice/upstream_limits.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

limit_observation named(double per_second, base::instant at) {
  return {.limit = base::request_rate(per_second), .observed_at = at};
}

TEST(upstream_limits, limit_holds_until_a_newer_observation) {
  upstream_limits limits;
  EXPECT_TRUE(limits.empty());
  EXPECT_TRUE(limits.observe(press, named(2.5, start)));
  EXPECT_EQ(limits.limit_of(press), base::request_rate(2.5));
  EXPECT_TRUE(limits.observe(press, {.observed_at = start + seconds(5)}));
  EXPECT_FALSE(limits.limit_of(press));
}

TEST(upstream_limits, message_that_was_overtaken_changes_nothing) {
  upstream_limits limits;
  limits.observe(press, {.observed_at = start});
  limits.observe(press, named(2.5, start + seconds(1)));
  EXPECT_FALSE(limits.observe(press, {.observed_at = start + milliseconds(900)}));
  EXPECT_EQ(limits.limit_of(press), base::request_rate(2.5));
}

TEST(upstream_limits, slightly_different_values_are_used_but_not_reported) {
  upstream_limits limits;
  limits.observe(press, named(10, start));
  const std::uint64_t change = limits.last_change();
  EXPECT_FALSE(limits.observe(press, named(10.5, start + seconds(1))));
  EXPECT_EQ(limits.limit_of(press), base::request_rate(10.5));
  EXPECT_EQ(limits.last_change(), change);
  EXPECT_TRUE(limits.observe(press, named(11.5, start + seconds(2))));
}

TEST(upstream_limits, change_from_nothing_allowed_counts) {
  upstream_limits limits;
  limits.observe(press, named(0, start));
  EXPECT_TRUE(limits.observe(press, named(0.1, start + seconds(1))));
}

TEST(upstream_limits, changes_since_a_number_include_ended_limits) {
  upstream_limits limits;
  limits.observe(press, named(2, start));
  limits.observe(base::upstream_id("press-2"), named(3, start));
  const std::uint64_t change = limits.last_change();
  EXPECT_EQ(limits.changed_since(0).size(), 2U);
  EXPECT_TRUE(limits.changed_since(change).empty());
  limits.observe(press, {.observed_at = start + seconds(1)});
  const auto changed = limits.changed_since(change);
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed.front().first, press);
  EXPECT_FALSE(changed.front().second.limit);
}

TEST(upstream_limits, forgotten_upstream_has_no_limit) {
  upstream_limits limits;
  limits.observe(press, named(2, start));
  limits.forget(press);
  EXPECT_FALSE(limits.limit_of(press));
  EXPECT_FALSE(limits.observe(press, {.observed_at = start + seconds(1)}));
}

}  // namespace
}  // namespace catkintack::choice
