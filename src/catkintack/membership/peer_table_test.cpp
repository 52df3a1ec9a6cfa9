#include "catkintack/membership/peer_table.hpp"

#include <gtest/gtest.h>

namespace catkintack::membership {
namespace {

using std::chrono::seconds;

heartbeat make_heartbeat(std::uint64_t run, std::uint64_t sequence) {
  heartbeat message;
  message.host = base::host_id("gw-2");
  message.run = base::incarnation(run);
  message.sequence = sequence;
  return message;
}

TEST(peer_table, ignores_old_messages) {
  peer_table peers({seconds(3)});
  EXPECT_TRUE(peers.on_heartbeat({}, make_heartbeat(2, 5)));
  EXPECT_FALSE(peers.on_heartbeat({}, make_heartbeat(2, 5)));
  EXPECT_FALSE(peers.on_heartbeat({}, make_heartbeat(1, 9)));
  EXPECT_TRUE(peers.on_heartbeat({}, make_heartbeat(3, 1)));
}

TEST(peer_table, drops_silent_and_leaving_peers) {
  peer_table peers({seconds(3)});
  const base::instant start{};
  peers.on_heartbeat(start, make_heartbeat(1, 1));
  EXPECT_EQ(peers.live(start + seconds(3)).size(), 1U);
  EXPECT_TRUE(peers.live(start + seconds(4)).empty());
  heartbeat leaving = make_heartbeat(1, 2);
  leaving.leaving = true;
  peers.on_heartbeat(start + seconds(4), leaving);
  EXPECT_TRUE(peers.live(start + seconds(4)).empty());
}

}  // namespace
}  // namespace catkintack::membership
