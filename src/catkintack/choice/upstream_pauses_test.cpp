#include "catkintack/choice/upstream_pauses.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

TEST(upstream_pauses, upstream_is_paused_until_the_requested_time) {
  upstream_pauses pauses;
  EXPECT_FALSE(pauses.end_of(press, start));
  pauses.on_request(press, milliseconds(1500), start);
  EXPECT_EQ(pauses.end_of(press, start + milliseconds(1499)), start + milliseconds(1500));
  EXPECT_FALSE(pauses.end_of(press, start + milliseconds(1500)));
  EXPECT_FALSE(pauses.end_of(base::upstream_id("press-2"), start));
}

TEST(upstream_pauses, shorter_request_does_not_end_a_longer_pause) {
  upstream_pauses pauses;
  pauses.on_request(press, seconds(4), start);
  pauses.on_request(press, seconds(1), start + seconds(1));
  EXPECT_EQ(pauses.end_of(press, start + seconds(3)), start + seconds(4));
  pauses.on_request(press, seconds(4), start + seconds(3));
  EXPECT_EQ(pauses.end_of(press, start + seconds(5)), start + seconds(7));
}

TEST(upstream_pauses, absurd_request_is_cut_to_the_longest_pause) {
  upstream_pauses pauses(seconds(60));
  pauses.on_request(press, std::chrono::hours(24 * 365 * 30), start);
  EXPECT_EQ(pauses.end_of(press, start), start + seconds(60));
  pauses.on_request(base::upstream_id("press-2"), seconds(-3), start);
  EXPECT_FALSE(pauses.end_of(base::upstream_id("press-2"), start));
}

TEST(upstream_pauses, forgotten_upstream_is_not_paused) {
  upstream_pauses pauses;
  pauses.on_request(press, seconds(4), start);
  pauses.forget(press);
  EXPECT_FALSE(pauses.end_of(press, start));
}

}  // namespace
}  // namespace catkintack::choice
