#include "catkintack/base/event_log.hpp"

#include <gtest/gtest.h>

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
  log.record("test", "c", request_id("r1"), {{"k", "v"}});
  const auto events = log.since(0);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(to_text(events[0]), "101 gw-1/7#2 test b");
  EXPECT_EQ(to_text(events[1]), "102 gw-1/7#3 test c [r1] k=v");
  EXPECT_EQ(log.since(2).size(), 1U);
}

TEST(event_log, stays_causal_when_a_peer_is_ahead) {
  event_log log = make_log(8, 100);
  log.observe(5000);
  log.record("test", "after_message");
  EXPECT_EQ(log.since(0).front().time, 5001U);
  EXPECT_GT(log.stamp(), 5001U);
}

}  // namespace
}  // namespace catkintack::base
