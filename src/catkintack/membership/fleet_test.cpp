#include "catkintack/membership/fleet.hpp"

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

fleet make_fleet() {
  fleet_options options;
  options.host = base::host_id("gw-0");
  return fleet(options);
}

/// Ticks twice a second, so that no gap looks like a freeze.
void run_until(fleet& tested, base::instant& now, base::instant end) {
  while (now < end) {
    now += milliseconds(500);
    tested.tick(now);
  }
}

TEST(fleet, ignores_old_messages_and_its_own) {
  fleet tested = make_fleet();
  EXPECT_TRUE(tested.on_heartbeat(start, make_heartbeat(2, 5)));
  EXPECT_FALSE(tested.on_heartbeat(start, make_heartbeat(2, 5)));
  EXPECT_FALSE(tested.on_heartbeat(start, make_heartbeat(1, 9)));
  EXPECT_TRUE(tested.on_heartbeat(start, make_heartbeat(3, 1)));
  heartbeat own;
  own.host = base::host_id("gw-0");
  EXPECT_FALSE(tested.on_heartbeat(start, own));
}

TEST(fleet, suspects_a_silent_peer_before_it_is_gone) {
  fleet tested = make_fleet();
  base::instant now = start;
  tested.on_heartbeat(now, make_heartbeat(1, 1));
  EXPECT_EQ(tested.take_changes().at(0).health, peer_health::live);
  run_until(tested, now, start + seconds(3));
  EXPECT_TRUE(tested.take_changes().empty());
  run_until(tested, now, start + seconds(4));
  EXPECT_EQ(tested.take_changes().at(0).health, peer_health::suspect);
  EXPECT_EQ(tested.live().size(), 1U);
  run_until(tested, now, start + seconds(7));
  EXPECT_EQ(tested.take_changes().at(0).health, peer_health::gone);
  EXPECT_TRUE(tested.live().empty());
}

TEST(fleet, drops_a_leaving_peer_at_once_and_ignores_its_late_heartbeat) {
  fleet tested = make_fleet();
  tested.on_heartbeat(start, make_heartbeat(1, 1));
  heartbeat leaving = make_heartbeat(1, 3);
  leaving.leaving = true;
  tested.on_heartbeat(start, leaving);
  EXPECT_TRUE(tested.live().empty());
  EXPECT_FALSE(tested.on_heartbeat(start, make_heartbeat(1, 2)));
  EXPECT_TRUE(tested.live().empty());
}

TEST(fleet, a_lagging_host_list_drops_no_live_peer) {
  fleet tested = make_fleet();
  tested.on_heartbeat(start, make_heartbeat(1, 1));
  tested.on_hosts(make_hosts(2));
  tested.tick(start);
  EXPECT_EQ(tested.live().size(), 1U);
}

TEST(fleet, does_not_blame_peers_for_its_own_freeze) {
  fleet tested = make_fleet();
  tested.tick(start);
  tested.on_heartbeat(start, make_heartbeat(1, 1));
  tested.take_changes();
  tested.tick(start + seconds(60));
  EXPECT_TRUE(tested.take_changes().empty());
  EXPECT_EQ(tested.live().size(), 1U);
}

TEST(fleet, tells_every_peer_in_turn) {
  fleet tested = make_fleet();
  tested.on_hosts(make_hosts(41));
  std::set<base::host_id> told;
  for (int turn = 0; turn < 5; ++turn) {
    const auto targets = tested.next_targets();
    EXPECT_EQ(targets.size(), 8U);
    for (const gateway_record& target : targets) {
      EXPECT_TRUE(told.insert(target.host).second);
    }
  }
  EXPECT_EQ(told.size(), 40U);
  EXPECT_EQ(tested.silence_limit(), milliseconds(7500));
}

}  // namespace
}  // namespace catkintack::membership
