#include "catkintack/membership/peer_tracker.hpp"

#include <gtest/gtest.h>

#include <set>

namespace catkintack::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::instant start{};

heartbeat make_heartbeat(std::uint64_t run, std::uint64_t sequence) {
  heartbeat message;
  message.host = base::host_id("gw-2");
  message.run = base::incarnation(run);
  message.sequence = sequence;
  return message;
}

std::vector<gateway_record> make_hosts(int count) {
  std::vector<gateway_record> hosts(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    hosts[static_cast<std::size_t>(index)].host = base::host_id("gw-" + std::to_string(index));
  }
  return hosts;
}

peer_tracker make_tracker() {
  peer_tracker_options options;
  options.host = base::host_id("gw-0");
  return peer_tracker(options);
}

/// Ticks twice per second, so that no gap between ticks counts as a pause.
void run_until(peer_tracker& tracker, base::instant& now, base::instant end) {
  while (now < end) {
    now += milliseconds(500);
    tracker.tick(now);
  }
}

TEST(peer_tracker, ignores_outdated_heartbeats_and_its_own) {
  peer_tracker tracker = make_tracker();
  EXPECT_TRUE(tracker.on_heartbeat(start, make_heartbeat(2, 5)));
  EXPECT_FALSE(tracker.on_heartbeat(start, make_heartbeat(2, 5)));
  EXPECT_FALSE(tracker.on_heartbeat(start, make_heartbeat(1, 9)));
  EXPECT_TRUE(tracker.on_heartbeat(start, make_heartbeat(3, 1)));
  heartbeat own;
  own.host = base::host_id("gw-0");
  EXPECT_FALSE(tracker.on_heartbeat(start, own));
}

TEST(peer_tracker, marks_a_silent_peer_as_suspect_and_then_as_gone) {
  peer_tracker tracker = make_tracker();
  base::instant now = start;
  tracker.on_heartbeat(now, make_heartbeat(1, 1));
  EXPECT_EQ(tracker.take_changes().at(0).health, peer_health::live);
  run_until(tracker, now, start + seconds(3));
  EXPECT_TRUE(tracker.take_changes().empty());
  run_until(tracker, now, start + seconds(4));
  EXPECT_EQ(tracker.take_changes().at(0).health, peer_health::suspect);
  EXPECT_EQ(tracker.live_peers().size(), 1U);
  run_until(tracker, now, start + seconds(7));
  EXPECT_EQ(tracker.take_changes().at(0).health, peer_health::gone);
  EXPECT_TRUE(tracker.live_peers().empty());
}

TEST(peer_tracker, removes_a_leaving_peer_immediately_and_ignores_its_late_heartbeat) {
  peer_tracker tracker = make_tracker();
  tracker.on_heartbeat(start, make_heartbeat(1, 1));
  heartbeat leaving = make_heartbeat(1, 3);
  leaving.leaving = true;
  tracker.on_heartbeat(start, leaving);
  EXPECT_TRUE(tracker.live_peers().empty());
  EXPECT_FALSE(tracker.on_heartbeat(start, make_heartbeat(1, 2)));
  EXPECT_TRUE(tracker.live_peers().empty());
}

TEST(peer_tracker, an_outdated_host_list_removes_no_live_peer) {
  peer_tracker tracker = make_tracker();
  tracker.on_heartbeat(start, make_heartbeat(1, 1));
  tracker.on_hosts(make_hosts(2));
  tracker.tick(start);
  EXPECT_EQ(tracker.live_peers().size(), 1U);
}

TEST(peer_tracker, does_not_suspect_peers_after_its_own_pause) {
  peer_tracker tracker = make_tracker();
  tracker.tick(start);
  tracker.on_heartbeat(start, make_heartbeat(1, 1));
  tracker.take_changes();
  tracker.tick(start + seconds(60));
  EXPECT_TRUE(tracker.take_changes().empty());
  EXPECT_EQ(tracker.live_peers().size(), 1U);
}

TEST(peer_tracker, rotates_heartbeats_over_all_peers) {
  peer_tracker tracker = make_tracker();
  tracker.on_hosts(make_hosts(41));
  std::set<base::host_id> notified;
  for (int turn = 0; turn < 5; ++turn) {
    const auto listed_peers = tracker.next_heartbeat_targets();
    EXPECT_EQ(listed_peers.size(), 8U);
    for (const gateway_record& target : listed_peers) {
      EXPECT_TRUE(notified.insert(target.host).second);
    }
  }
  EXPECT_EQ(notified.size(), 40U);
  EXPECT_EQ(tracker.suspect_timeout(), milliseconds(7500));
}

}  // namespace
}  // namespace catkintack::membership
