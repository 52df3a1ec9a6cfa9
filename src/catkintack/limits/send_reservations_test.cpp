#include "catkintack/limits/send_reservations.hpp"

#include <gtest/gtest.h>

namespace catkintack::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

TEST(send_reservations, sends_are_one_interval_apart) {
  send_reservations reservations;
  const base::request_rate rate(4);
  const base::instant later = start + seconds(10);
  reservations.reserve(press, rate, start);
  EXPECT_EQ(reservations.reserve(press, rate, later).wait, milliseconds(0));
  EXPECT_EQ(reservations.reserve(press, rate, later).wait, milliseconds(250));
  EXPECT_EQ(reservations.reserve(press, rate, later).wait, milliseconds(500));
}

// An authority that restarts has lost the record of its grants.
TEST(send_reservations, first_send_is_one_interval_after_the_first_question) {
  send_reservations reservations;
  const send_reservation first = reservations.reserve(press, base::request_rate(4), start);
  EXPECT_TRUE(first.granted);
  EXPECT_EQ(first.wait, milliseconds(250));
}

TEST(send_reservations, sends_beyond_the_horizon_are_refused_until_they_come_near) {
  send_reservations reservations(seconds(1));
  const base::request_rate rate(0.5);
  const send_reservation refused = reservations.reserve(press, rate, start);
  EXPECT_FALSE(refused.granted);
  EXPECT_EQ(refused.wait, seconds(1));
  EXPECT_TRUE(reservations.reserve(press, rate, start + refused.wait).granted);
}

TEST(send_reservations, nothing_is_given_out_at_a_rate_of_zero) {
  send_reservations reservations;
  for (int i = 0; i < 1000; ++i) {
    const auto answer = reservations.reserve(press, base::request_rate(0), start + seconds(i));
    ASSERT_FALSE(answer.granted);
    ASSERT_GT(answer.wait, seconds(0));
  }
}

// Sends reserved ahead would add to those that a restarted authority gives out.
TEST(send_reservations, send_to_a_cold_upstream_starts_at_once_or_is_refused) {
  send_reservations reservations;
  const base::request_rate rate(4);
  EXPECT_EQ(reservations.reserve_now(press, rate, start).wait, milliseconds(250));
  const base::instant later = start + milliseconds(250);
  EXPECT_TRUE(reservations.reserve_now(press, rate, later).granted);
  const send_reservation second = reservations.reserve_now(press, rate, later);
  EXPECT_FALSE(second.granted);
  EXPECT_EQ(second.wait, milliseconds(250));
}

// An upstream that joins must get calls within 4 s, also at a low rate.
TEST(send_reservations, first_send_to_a_cold_upstream_waits_for_two_seconds_at_most) {
  send_reservations reservations;
  const base::request_rate rate(0.1);
  EXPECT_EQ(reservations.reserve_now(press, rate, start).wait, seconds(2));
  EXPECT_TRUE(reservations.reserve_now(press, rate, start + seconds(2)).granted);
  EXPECT_EQ(reservations.reserve_now(press, rate, start + seconds(2)).wait, seconds(10));
}

// Guards against an upstream that gets nothing for up to a minute after its rate has risen.
TEST(send_reservations, next_send_comes_nearer_when_the_rate_rises) {
  send_reservations reservations(seconds(1));
  const base::request_rate low(0.02);
  const base::request_rate high(4);
  reservations.reserve(press, low, start);
  reservations.reserve(press, low, start + seconds(50));
  EXPECT_LE(reservations.reserve(press, high, start + seconds(50)).wait, milliseconds(250));
  const base::instant later = start + seconds(100);
  ASSERT_TRUE(reservations.reserve_now(press, low, later + seconds(50)).granted);
  EXPECT_EQ(reservations.reserve_now(press, high, later + seconds(50)).wait, milliseconds(250));
}

}  // namespace
}  // namespace catkintack::limits
