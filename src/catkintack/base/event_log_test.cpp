#include "catkintack/base/event_log.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace catkintack::base {
namespace {

event_log make_log(std::size_t capacity, std::int64_t wall_us) {
  return event_log({host_id("gw-1"), incarnation(7), capacity},
                   [wall_us] { return wall_time(duration(wall_us)); });
}

TEST(event_log, keeps_the_newest_events) {
  event_log log = make_log(2, 100);
  log.record("test", "a");
  log.record("test", "b");
  log.record("test", "c", {}, {{"k", "v"}});
  const auto events = log.since(0);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(to_text(events[0]), "101 gw-1/7#2 test b");
  EXPECT_EQ(to_text(events[1]), "102 gw-1/7#3 test c k=v");
  EXPECT_EQ(log.since(2).size(), 1U);
}

TEST(event_log, request_events_do_not_evict_edits_or_breaches) {
  event_log log = make_log(2, 100);
  log.record("config", "lists_adopted");
  log.record("delivery", "breach_sent_twice", request_id("r0"));
  for (int number = 1; number <= 3; ++number) {
    log.record("routing", "attempt_sent", request_id("r" + std::to_string(number)));
  }
  const auto events = log.since(0);
  ASSERT_EQ(events.size(), 4U);
  EXPECT_EQ(to_text(events[0]), "100 gw-1/7#1 config lists_adopted");
  EXPECT_EQ(to_text(events[1]), "101 gw-1/7#2 delivery breach_sent_twice [r0]");
  EXPECT_EQ(to_text(events[2]), "103 gw-1/7#4 routing attempt_sent [r2]");
  EXPECT_EQ(to_text(events[3]), "104 gw-1/7#5 routing attempt_sent [r3]");
}

TEST(event_log, keeps_causal_order_when_a_peer_clock_is_ahead) {
  event_log log = make_log(8, 100);
  log.observe(5000);
  log.record("test", "after_message");
  EXPECT_EQ(log.since(0).front().time, 5001U);
  EXPECT_GT(log.stamp(), 5001U);
}

TEST(event_log, does_not_overflow_on_a_corrupt_peer_time) {
  event_log log = make_log(8, 100);
  log.observe(std::numeric_limits<std::uint64_t>::max());
  EXPECT_EQ(log.stamp(), 100U);
}

}  // namespace
}  // namespace catkintack::base
