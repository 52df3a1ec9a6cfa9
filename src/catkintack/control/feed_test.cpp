#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "catkintack/control/feed_follower.hpp"
#include "catkintack/control/feed_server.hpp"
#include "catkintack/control/message_channel.hpp"
#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

base::address free_address() {
  asio::io_context io;
  const asio::ip::tcp::acceptor bound(io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", bound.local_endpoint().port()};
}

knowledge_snapshot make_snapshot() {
  knowledge_snapshot result;
  result.revision = 12;
  result.table = routes::route_table_builder(base::list_version(7)).build();
  directory::endpoint upstream;
  upstream.record.id = base::upstream_id("a");
  upstream.record.service = base::service_id("press");
  upstream.record.where = {"10.0.0.1", 80};
  upstream.warm_up_left = seconds(2);
  result.upstreams = {upstream};
  return result;
}

/// @brief A host that tells others and is told by them.
struct feeding_host {
  feeding_host(asio::io_context& io,
               std::vector<base::address> seeds,
               feed_server_options telling = {},
               feed_follower_options following = {})
      : server(io, state, keeper, telling),
        follower(io.get_executor(),
                 state,
                 keeper,
                 with(std::move(following), std::move(seeds), where)) {
    EXPECT_FALSE(server.listen(where));
    keeper.on_change([this] { server.wake(); });
    follower.start([] {});
  }
  static feed_follower_options with(feed_follower_options options,
                                    std::vector<base::address> seeds,
                                    const base::address& self) {
    options.seeds = std::move(seeds);
    options.self = self;
    return options;
  }
  void step(std::uint64_t revision, std::uint64_t version) {
    const change_batch batch{
        .after = keeper.revision(),
        .revision = revision,
        .table = routes::route_table_builder(base::list_version(version)).build()};
    EXPECT_TRUE(keeper.apply(batch, "registry"));
  }

  base::address where = free_address();
  logging::structured_log log{[] { return base::wall_time(); }, base::system_clock_hook(),
                              [](const std::string&) {}};
  serving::traffic_state state{{}, base::system_clock_hook(), base::seeded_random_hook(1), log};
  knowledge_keeper keeper{state};
  feed_server server;
  feed_follower follower;
};

bool run_until(asio::io_context& io, const std::function<bool()>& holds) {
  const auto limit = std::chrono::steady_clock::now() + seconds(20);
  while (!holds() && std::chrono::steady_clock::now() < limit) {
    io.run_one_for(milliseconds(20));
  }
  return holds();
}

TEST(feed, host_learns_all_that_its_peer_knows) {
  asio::io_context io;
  feeding_host peer(io, {});
  peer.keeper.adopt(make_snapshot(), "registry");
  feeding_host host(io, {peer.where});
  ASSERT_TRUE(run_until(io, [&] { return host.keeper.revision() == 12; }));
  EXPECT_EQ(host.state.table->version().value(), 7U);
  EXPECT_EQ(host.keeper.snapshot().upstreams, make_snapshot().upstreams);
}

TEST(feed, nothing_comes_when_there_is_nothing_newer) {
  asio::io_context io;
  feeding_host peer(io, {});
  peer.keeper.adopt(make_snapshot(), "registry");
  peer.keeper.watching(true);
  feeding_host host(io, {peer.where});
  knowledge_snapshot newer = make_snapshot();
  newer.revision = 13;
  newer.upstreams.clear();
  host.keeper.adopt(newer, "registry");
  ASSERT_TRUE(run_until(io, [&] { return host.follower.informed(); }));
  EXPECT_EQ(host.keeper.revision(), 13U);
  EXPECT_EQ(host.keeper.snapshot().upstreams.size(), 0U);
}

TEST(feed, peer_that_is_gone_gives_nothing) {
  asio::io_context io;
  feeding_host host(io, {free_address()});
  for (int i = 0; i < 20; ++i) {
    io.run_one_for(milliseconds(10));
  }
  EXPECT_FALSE(host.follower.informed());
  EXPECT_EQ(host.keeper.revision(), 0U);
}

TEST(feed, changes_are_told_in_steps) {
  asio::io_context io;
  feeding_host peer(io, {});
  peer.keeper.watching(true);
  feeding_host host(io, {peer.where});
  ASSERT_TRUE(run_until(io, [&] { return host.follower.informed(); }));
  peer.step(3, 1);
  peer.step(8, 2);
  ASSERT_TRUE(run_until(io, [&] { return host.keeper.revision() == 8; }));
  // It can pass the steps on.
  EXPECT_EQ(host.keeper.changes().since(3).value_or(std::vector<change_batch>()).size(), 1U);
}

TEST(feed, full_publisher_names_others_that_pass_changes_on) {
  asio::io_context io;
  feeding_host root(io, {}, {.most_subscribers = 1});
  root.keeper.watching(true);
  feeding_host near(io, {root.where}, {.most_subscribers = 1});
  ASSERT_TRUE(run_until(io, [&] { return near.follower.informed(); }));
  feeding_host far(io, {root.where});
  ASSERT_TRUE(run_until(io, [&] { return far.follower.informed(); }));
  EXPECT_EQ(root.server.subscribers(), 1U);
  EXPECT_EQ(near.server.subscribers(), 1U);
  root.step(5, 1);
  ASSERT_TRUE(run_until(io, [&] { return far.keeper.revision() == 5; }));
}

TEST(feed, one_host_of_another_region_is_told_and_tells_the_rest_there) {
  asio::io_context io;
  feeding_host root(io, {});
  root.keeper.watching(true);
  std::vector<std::unique_ptr<feeding_host>> far;
  for (int i = 0; i < 4; ++i) {
    far.push_back(std::make_unique<feeding_host>(io, std::vector{root.where}));
    far.back()->state.options.region = base::region_id("far");
  }
  const auto all_informed = [&] {
    return std::ranges::all_of(far, [](const auto& host) { return host->follower.informed(); });
  };
  ASSERT_TRUE(run_until(io, all_informed));
  EXPECT_EQ(root.server.subscribers(), 1U);
  root.step(5, 1);
  ASSERT_TRUE(run_until(io, [&] {
    return std::ranges::all_of(far, [](const auto& host) { return host->keeper.revision() == 5; });
  }));
}

TEST(feed, hosts_that_lost_the_registry_do_not_keep_each_other_told) {
  asio::io_context io;
  const feed_follower_options quick{.age_limit = milliseconds(300)};
  const feed_server_options often{.beat = milliseconds(50)};
  feeding_host root(io, {}, often);
  root.keeper.watching(true);
  feeding_host one(io, {root.where}, often, quick);
  feeding_host other(io, {one.where}, often, quick);
  ASSERT_TRUE(run_until(io, [&] { return other.follower.informed(); }));
  root.keeper.watching(false);
  ASSERT_TRUE(
      run_until(io, [&] { return !one.follower.informed() && !other.follower.informed(); }));
}

TEST(feed, circle_of_hosts_without_a_watcher_breaks_up) {
  asio::io_context io;
  feeding_host root(io, {}, {.most_subscribers = 1});
  root.keeper.watching(true);
  // The two are old enough for each other for ever, but count up.
  const feed_follower_options patient{
      .publishers = 1, .age_limit = std::chrono::hours(1), .give_up_age = std::chrono::hours(2)};
  feeding_host one(io, {root.where}, {.beat = milliseconds(20)}, patient);
  ASSERT_TRUE(run_until(io, [&] { return one.follower.informed(); }));
  feeding_host other(io, {one.where}, {.beat = milliseconds(20)}, patient);
  ASSERT_TRUE(run_until(io, [&] { return other.follower.informed(); }));
  EXPECT_EQ(one.keeper.hops(), 1U);
  ASSERT_TRUE(run_until(io, [&] { return other.keeper.hops() == 2; }));
  root.keeper.watching(false);
  root.keeper.informed_over(7);
  root.server.wake();
  ASSERT_TRUE(
      run_until(io, [&] { return !one.follower.informed() && !other.follower.informed(); }));
}

TEST(feed, publisher_that_goes_silent_is_given_up) {
  asio::io_context io;
  feeding_host root(io, {}, {.beat = std::chrono::hours(1)});
  root.keeper.watching(true);
  feeding_host host(io, {root.where}, {}, {.silence_limit = milliseconds(100)});
  ASSERT_TRUE(run_until(io, [&] { return host.follower.informed(); }));
  ASSERT_TRUE(run_until(io, [&] { return !host.follower.informed(); }));
}

TEST(feed, host_with_two_publishers_stays_informed_when_one_is_lost) {
  asio::io_context io;
  feeding_host first(io, {}, {.beat = std::chrono::hours(1)});
  feeding_host second(io, {});
  first.keeper.watching(true);
  second.keeper.watching(true);
  feeding_host host(io, {first.where, second.where});
  ASSERT_TRUE(
      run_until(io, [&] { return first.server.subscribers() + second.server.subscribers() == 2; }));
  // The first falls silent after one message.
  second.step(4, 2);
  ASSERT_TRUE(run_until(io, [&] { return host.keeper.revision() == 4; }));
  EXPECT_TRUE(run_until(io, [&] { return host.follower.informed(); }));
}

// Incident 03: a relay that had not read a large table yet kept quiet about it.
TEST(feed, relay_without_a_large_table_passes_on_that_it_exists) {
  asio::io_context io;
  feeding_host root(io, {}, {.large_routes = 0});
  root.keeper.watching(true);
  knowledge_snapshot known = make_snapshot();
  known.newer_table = 9;
  feeding_host relay(io, {root.where});
  relay.keeper.adopt(known, "registry");
  ASSERT_TRUE(relay.keeper.lacks_table());
  feeding_host far(io, {relay.where});
  ASSERT_TRUE(run_until(io, [&] { return far.keeper.revision() == 12; }));
  EXPECT_EQ(far.state.table->version().value(), 7U);
  EXPECT_TRUE(far.keeper.lacks_table());
}

// The same when the relay's own, older table is too large to be told.
TEST(feed, relay_with_an_older_large_table_announces_the_newest) {
  asio::io_context io;
  routes::route route;
  route.services = {{base::service_id("press"), 1}};
  routes::route_table_builder builder{base::list_version(7)};
  builder.add(route);
  knowledge_snapshot known = make_snapshot();
  known.table = std::move(builder).build();
  known.newer_table = 9;
  feeding_host relay(io, {}, {.large_routes = 0});
  relay.keeper.adopt(known, "registry");
  feeding_host far(io, {relay.where});
  ASSERT_TRUE(run_until(io, [&] { return far.keeper.lacks_table(); }));
  routes::route_table_builder eighth{base::list_version(8)};
  far.keeper.adopt_table(std::move(eighth).build(), "registry");
  EXPECT_TRUE(far.keeper.lacks_table());
}

TEST(feed, large_table_that_the_relay_gets_late_is_told_when_asked_for_again) {
  asio::io_context io;
  feeding_host relay(io, {}, {.large_routes = 0});
  relay.keeper.watching(true);
  knowledge_snapshot known = make_snapshot();
  known.newer_table = 9;
  relay.keeper.adopt(known, "registry");
  feeding_host far(io, {relay.where});
  ASSERT_TRUE(run_until(io, [&] { return far.keeper.lacks_table(); }));
  far.follower.want_large();
  ASSERT_TRUE(run_until(io, [&] { return relay.server.subscribers() == 2; }));
  ASSERT_TRUE(run_until(io, [&] { return relay.server.subscribers() == 1; }));
  routes::route route;
  route.services = {{base::service_id("press"), 1}};
  routes::route_table_builder builder{base::list_version(9)};
  builder.add(route);
  relay.keeper.adopt_table(std::move(builder).build(), "registry");
  far.follower.want_large();
  EXPECT_TRUE(run_until(io, [&] { return !far.keeper.lacks_table(); }));
}

TEST(feed, large_table_is_announced_and_told_only_on_demand) {
  asio::io_context io;
  feeding_host root(io, {}, {.large_routes = 0});
  root.keeper.watching(true);
  feeding_host host(io, {root.where});
  ASSERT_TRUE(run_until(io, [&] { return host.follower.informed(); }));
  routes::route route;
  route.services = {{base::service_id("press"), 1}};
  routes::route_table_builder builder{base::list_version(2)};
  builder.add(route);
  const auto table = std::move(builder).build();
  EXPECT_TRUE(root.keeper.apply({.revision = 4, .table = table}, "registry"));
  ASSERT_TRUE(run_until(io, [&] { return host.keeper.revision() == 4; }));
  EXPECT_TRUE(host.keeper.lacks_table());
  EXPECT_EQ(host.state.table, nullptr);
  host.follower.want_large();
  ASSERT_TRUE(run_until(io, [&] { return !host.keeper.lacks_table(); }));
  EXPECT_EQ(host.state.table->version().value(), 2U);
}

}  // namespace
}  // namespace catkintack::control
