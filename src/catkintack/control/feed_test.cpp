#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "catkintack/control/feed_client.hpp"
#include "catkintack/control/feed_server.hpp"
#include "catkintack/control/message_channel.hpp"
#include "catkintack/routes/route_table_builder.hpp"
#include "free_address.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::free_address;

registry_snapshot make_snapshot() {
  registry_snapshot result;
  result.revision = {.number = 12};
  result.table = routes::route_table_builder(base::list_version(7)).build();
  directory::endpoint upstream;
  upstream.record.id = base::upstream_id("a");
  upstream.record.service = base::service_id("press");
  upstream.record.where = {"10.0.0.1", 80};
  upstream.warm_up_left = seconds(2);
  result.upstreams = {upstream};
  return result;
}

/// @brief A host with a feed server and a feed client.
struct feed_host {
  feed_host(asio::io_context& io,
            std::vector<base::address> seeds,
            feed_server_options server_options = {},
            feed_client_options client_options = {})
      : server(io, state, replica, server_options),
        client(io.get_executor(),
               state,
               replica,
               make_options(std::move(client_options), std::move(seeds), feed_address)) {
    EXPECT_FALSE(server.listen(feed_address));
    replica.on_change([this] { server.notify_subscribers(); });
    client.start([] {});
  }
  static feed_client_options make_options(feed_client_options options,
                                          std::vector<base::address> seeds,
                                          const base::address& self) {
    options.seeds = std::move(seeds);
    options.self = self;
    return options;
  }
  void publish(std::uint64_t revision, std::uint64_t version) {
    const change_batch batch{
        .base_revision = replica.revision(),
        .revision = {.number = revision},
        .table = routes::route_table_builder(base::list_version(version)).build()};
    EXPECT_TRUE(replica.apply(batch, "registry"));
  }

  base::address feed_address = free_address();
  logging::structured_log log{[] { return base::wall_time(); }, base::system_clock_hook(),
                              [](const std::string&) {}};
  serving::traffic_state state{{}, base::system_clock_hook(), base::seeded_random_hook(1), log};
  registry_replica replica{state};
  feed_server server;
  feed_client client;
};

bool run_until(asio::io_context& io, const std::function<bool()>& holds) {
  const auto limit = std::chrono::steady_clock::now() + seconds(20);
  while (!holds() && std::chrono::steady_clock::now() < limit) {
    io.run_one_for(milliseconds(20));
  }
  return holds();
}

TEST(feed, new_subscriber_receives_the_full_snapshot) {
  asio::io_context io;
  feed_host peer(io, {});
  peer.replica.apply_snapshot(make_snapshot(), "registry");
  feed_host host(io, {peer.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision().number == 12; }));
  EXPECT_EQ(host.state.table->version().value(), 7U);
  EXPECT_EQ(host.replica.snapshot().upstreams, make_snapshot().upstreams);
}

TEST(feed, subscriber_with_newer_state_keeps_it) {
  asio::io_context io;
  feed_host peer(io, {});
  peer.replica.apply_snapshot(make_snapshot(), "registry");
  peer.replica.set_watching(true);
  feed_host host(io, {peer.feed_address});
  registry_snapshot newer = make_snapshot();
  newer.revision = {.number = 13};
  newer.upstreams.clear();
  host.replica.apply_snapshot(newer, "registry");
  ASSERT_TRUE(run_until(io, [&] { return host.client.up_to_date(); }));
  EXPECT_EQ(host.replica.revision().number, 13U);
  EXPECT_EQ(host.replica.snapshot().upstreams.size(), 0U);
}

TEST(feed, unreachable_publisher_leaves_the_replica_unchanged) {
  asio::io_context io;
  feed_host host(io, {free_address()});
  for (int i = 0; i < 20; ++i) {
    io.run_one_for(milliseconds(10));
  }
  EXPECT_FALSE(host.client.up_to_date());
  EXPECT_EQ(host.replica.revision().number, 0U);
}

TEST(feed, changes_are_sent_as_batches) {
  asio::io_context io;
  feed_host peer(io, {});
  peer.replica.set_watching(true);
  feed_host host(io, {peer.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return host.client.up_to_date(); }));
  peer.publish(3, 1);
  peer.publish(8, 2);
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision().number == 8; }));
  // The host can relay the batch after revision 3.
  EXPECT_EQ(
      host.replica.changes().since({.number = 3}).value_or(std::vector<change_batch>()).size(), 1U);
}

TEST(feed, full_publisher_refers_to_its_subscribers) {
  asio::io_context io;
  feed_host root(io, {}, {.max_subscribers = 1});
  root.replica.set_watching(true);
  feed_host relay(io, {root.feed_address}, {.max_subscribers = 1});
  ASSERT_TRUE(run_until(io, [&] { return relay.client.up_to_date(); }));
  feed_host downstream(io, {root.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return downstream.client.up_to_date(); }));
  EXPECT_EQ(root.server.subscriber_count(), 1U);
  EXPECT_EQ(relay.server.subscriber_count(), 1U);
  root.publish(5, 1);
  ASSERT_TRUE(run_until(io, [&] { return downstream.replica.revision().number == 5; }));
}

TEST(feed, one_subscriber_per_other_region_relays_to_the_rest) {
  asio::io_context io;
  feed_host root(io, {});
  root.replica.set_watching(true);
  std::vector<std::unique_ptr<feed_host>> remote;
  for (int i = 0; i < 4; ++i) {
    remote.push_back(std::make_unique<feed_host>(io, std::vector{root.feed_address}));
    remote.back()->state.options.region = base::region_id("far");
  }
  const auto all_informed = [&] {
    return std::ranges::all_of(remote, [](const auto& host) { return host->client.up_to_date(); });
  };
  ASSERT_TRUE(run_until(io, all_informed));
  EXPECT_EQ(root.server.subscriber_count(), 1U);
  root.publish(5, 1);
  ASSERT_TRUE(run_until(io, [&] {
    return std::ranges::all_of(
        remote, [](const auto& host) { return host->replica.revision().number == 5; });
  }));
}

TEST(feed, hosts_without_the_registry_do_not_keep_each_other_up_to_date) {
  asio::io_context io;
  const feed_client_options short_max_age{.max_age = milliseconds(300)};
  const feed_server_options short_interval{.heartbeat_interval = milliseconds(50)};
  feed_host root(io, {}, short_interval);
  root.replica.set_watching(true);
  feed_host first(io, {root.feed_address}, short_interval, short_max_age);
  feed_host second(io, {first.feed_address}, short_interval, short_max_age);
  ASSERT_TRUE(run_until(io, [&] { return second.client.up_to_date(); }));
  root.replica.set_watching(false);
  ASSERT_TRUE(
      run_until(io, [&] { return !first.client.up_to_date() && !second.client.up_to_date(); }));
}

TEST(feed, hop_limit_breaks_a_cycle_without_a_registry_watcher) {
  asio::io_context io;
  feed_host root(io, {}, {.max_subscribers = 1});
  root.replica.set_watching(true);
  // With these age limits the state never counts as stale; only the hop count ends the cycle.
  const feed_client_options unlimited_age{.publisher_count = 1,
                                          .max_age = std::chrono::hours(1),
                                          .publisher_max_age = std::chrono::hours(2)};
  feed_host first(io, {root.feed_address}, {.heartbeat_interval = milliseconds(20)}, unlimited_age);
  ASSERT_TRUE(run_until(io, [&] { return first.client.up_to_date(); }));
  feed_host second(io, {first.feed_address}, {.heartbeat_interval = milliseconds(20)},
                   unlimited_age);
  ASSERT_TRUE(run_until(io, [&] { return second.client.up_to_date(); }));
  EXPECT_EQ(first.replica.hops(), 1U);
  ASSERT_TRUE(run_until(io, [&] { return second.replica.hops() == 2; }));
  root.replica.set_watching(false);
  root.replica.set_publisher_hops(7);
  root.server.notify_subscribers();
  ASSERT_TRUE(
      run_until(io, [&] { return !first.client.up_to_date() && !second.client.up_to_date(); }));
}

TEST(feed, silent_publisher_is_dropped) {
  asio::io_context io;
  feed_host root(io, {}, {.heartbeat_interval = std::chrono::hours(1)});
  root.replica.set_watching(true);
  feed_host host(io, {root.feed_address}, {}, {.silence_timeout = milliseconds(100)});
  ASSERT_TRUE(run_until(io, [&] { return host.client.up_to_date(); }));
  ASSERT_TRUE(run_until(io, [&] { return !host.client.up_to_date(); }));
}

TEST(feed, host_with_two_publishers_stays_up_to_date_when_one_goes_silent) {
  asio::io_context io;
  feed_host first(io, {}, {.heartbeat_interval = std::chrono::hours(1)});
  feed_host second(io, {});
  first.replica.set_watching(true);
  second.replica.set_watching(true);
  feed_host host(io, {first.feed_address, second.feed_address});
  ASSERT_TRUE(run_until(
      io, [&] { return first.server.subscriber_count() + second.server.subscriber_count() == 2; }));
  // The first publisher is silent after one message.
  second.publish(4, 2);
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision().number == 4; }));
  EXPECT_TRUE(run_until(io, [&] { return host.client.up_to_date(); }));
}

// Incident 03: a relay that had not read a large table yet did not announce its version.
TEST(feed, relay_without_a_large_table_announces_its_version) {
  asio::io_context io;
  feed_host root(io, {}, {.max_inline_routes = 0});
  root.replica.set_watching(true);
  registry_snapshot known = make_snapshot();
  known.announced_table_version = 9;
  feed_host relay(io, {root.feed_address});
  relay.replica.apply_snapshot(known, "registry");
  ASSERT_TRUE(relay.replica.lacks_table());
  feed_host downstream(io, {relay.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return downstream.replica.revision().number == 12; }));
  EXPECT_EQ(downstream.state.table->version().value(), 7U);
  EXPECT_TRUE(downstream.replica.lacks_table());
}

// Like the previous test, but the relay's own, older table is too large to send.
TEST(feed, relay_with_an_older_large_table_announces_the_newest_version) {
  asio::io_context io;
  routes::route route;
  route.services = {{base::service_id("press"), 1}};
  routes::route_table_builder builder{base::list_version(7)};
  builder.add(route);
  registry_snapshot known = make_snapshot();
  known.table = std::move(builder).build();
  known.announced_table_version = 9;
  feed_host relay(io, {}, {.max_inline_routes = 0});
  relay.replica.apply_snapshot(known, "registry");
  feed_host downstream(io, {relay.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return downstream.replica.lacks_table(); }));
  routes::route_table_builder version_8{base::list_version(8)};
  downstream.replica.apply_table(std::move(version_8).build(), "registry");
  EXPECT_TRUE(downstream.replica.lacks_table());
}

TEST(feed, large_table_received_late_by_a_relay_is_sent_on_a_repeated_request) {
  asio::io_context io;
  feed_host relay(io, {}, {.max_inline_routes = 0});
  relay.replica.set_watching(true);
  registry_snapshot known = make_snapshot();
  known.announced_table_version = 9;
  relay.replica.apply_snapshot(known, "registry");
  feed_host downstream(io, {relay.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return downstream.replica.lacks_table(); }));
  downstream.client.request_large_tables();
  ASSERT_TRUE(run_until(io, [&] { return relay.server.subscriber_count() == 0; }));
  ASSERT_TRUE(run_until(io, [&] { return relay.server.subscriber_count() == 1; }));
  routes::route route;
  route.services = {{base::service_id("press"), 1}};
  routes::route_table_builder builder{base::list_version(9)};
  builder.add(route);
  relay.replica.apply_table(std::move(builder).build(), "registry");
  downstream.client.request_large_tables();
  EXPECT_TRUE(run_until(io, [&] { return !downstream.replica.lacks_table(); }));
}

TEST(feed, large_table_is_announced_and_sent_only_on_request) {
  asio::io_context io;
  feed_host root(io, {}, {.max_inline_routes = 0});
  root.replica.set_watching(true);
  feed_host host(io, {root.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return host.client.up_to_date(); }));
  routes::route route;
  route.services = {{base::service_id("press"), 1}};
  routes::route_table_builder builder{base::list_version(2)};
  builder.add(route);
  const auto table = std::move(builder).build();
  EXPECT_TRUE(root.replica.apply({.revision = {.number = 4}, .table = table}, "registry"));
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision().number == 4; }));
  EXPECT_TRUE(host.replica.lacks_table());
  EXPECT_EQ(host.state.table, nullptr);
  host.client.request_large_tables();
  ASSERT_TRUE(run_until(io, [&] { return !host.replica.lacks_table(); }));
  EXPECT_EQ(host.state.table->version().value(), 2U);
}

TEST(feed, subscriber_of_an_earlier_era_receives_a_snapshot) {
  asio::io_context io;
  feed_host peer(io, {});
  peer.replica.set_watching(true);
  feed_host host(io, {peer.feed_address});
  peer.publish(90, 3);
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision().number == 90; }));
  registry_snapshot restored = make_snapshot();
  restored.revision = {base::registry_era(1), 12};
  peer.replica.apply_snapshot(restored, "registry");
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision() == restored.revision; }));
  EXPECT_EQ(host.state.table->version().value(), 7U);
}

TEST(feed, publisher_of_an_earlier_era_does_not_pull_a_subscriber_back) {
  asio::io_context io;
  feed_host peer(io, {});
  peer.replica.set_watching(true);
  peer.publish(90, 3);
  feed_host host(io, {peer.feed_address});
  registry_snapshot restored = make_snapshot();
  restored.revision = {base::registry_era(1), 12};
  host.replica.apply_snapshot(restored, "registry");
  ASSERT_TRUE(run_until(io, [&] { return host.client.up_to_date(); }));
  peer.publish(91, 4);
  // A host that subscribes later has received the batch: so has the one that subscribed before.
  feed_host later(io, {peer.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return later.replica.revision().number == 91; }));
  EXPECT_EQ(host.replica.revision(), restored.revision);
  EXPECT_EQ(host.replica.snapshot().upstreams.size(), 1U);
}

// Incident 04: hosts that started at the same time as the seeds left them at the first message,
// since the seeds had no state yet, and then informed each other by watching the store in turn.
TEST(feed, subscriber_waits_for_a_publisher_that_is_still_starting) {
  asio::io_context io;
  feed_host root(io, {}, {.max_subscribers = 1, .heartbeat_interval = milliseconds(5)});
  feed_host host(io, {root.feed_address});
  ASSERT_TRUE(run_until(io, [&] { return root.server.subscriber_count() == 1; }));
  for (int i = 0; i < 20; ++i) {
    io.run_one_for(milliseconds(10));
  }
  EXPECT_EQ(root.server.subscriber_count(), 1U);
  root.replica.set_watching(true);
  root.publish(4, 2);
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision().number == 4; }));
}

TEST(feed, place_of_a_closed_subscriber_is_free_before_the_next_message) {
  asio::io_context io;
  feed_host root(io, {}, {.heartbeat_interval = std::chrono::hours(1)});
  {
    asio::ip::tcp::socket host(io);
    host.connect({asio::ip::make_address("127.0.0.1"), root.feed_address.port});
    boost::beast::tcp_stream stream(std::move(host));
    const std::string body = encode(feed_subscription{});
    const std::string length{0, 0, 0, static_cast<char>(body.size())};
    asio::write(stream, asio::buffer(length + body));
    ASSERT_TRUE(run_until(io, [&] { return root.server.subscriber_count() == 1; }));
  }
  EXPECT_TRUE(run_until(io, [&] { return root.server.subscriber_count() == 0; }));
}

TEST(feed, host_below_a_detached_publisher_returns_to_the_seeds) {
  asio::io_context io;
  const feed_client_options options{.publisher_count = 1,
                                    .detached_timeout = milliseconds(50),
                                    .initial_backoff = milliseconds(5),
                                    .max_backoff = milliseconds(10)};
  // Watches the registry for the time being, far from any seed.
  feed_host detached(io, {}, {.heartbeat_interval = milliseconds(10)});
  detached.replica.set_watching(true);
  detached.replica.set_publisher_hops(options.max_hops + 1);
  feed_host host(io, {detached.feed_address}, {}, options);
  ASSERT_TRUE(run_until(io, [&] { return host.client.up_to_date(); }));
  ASSERT_TRUE(run_until(io, [&] { return detached.server.subscriber_count() == 0; }));
}

// Hosts that have not been told by the upstream itself must keep to its limit as well.
TEST(feed, limits_of_upstreams_reach_hosts_below_a_relay) {
  asio::io_context io;
  feed_host root(io, {}, {.heartbeat_interval = milliseconds(5)});
  feed_host relay(io, {root.feed_address}, {.heartbeat_interval = milliseconds(5)});
  feed_host host(io, {relay.feed_address});
  root.replica.set_watching(true);
  root.replica.apply_snapshot(make_snapshot(), "registry");
  ASSERT_TRUE(run_until(io, [&] { return host.replica.revision() == root.replica.revision(); }));
  const base::upstream_id upstream("a");
  root.state.upstream_limits.on_named(upstream, base::request_rate(2.5), root.state.clock());
  ASSERT_TRUE(run_until(io, [&] {
    return host.state.upstream_limits.limit_of(upstream) == base::request_rate(2.5);
  }));
  root.state.upstream_limits.on_not_named(upstream, root.state.clock() + seconds(2));
  EXPECT_TRUE(run_until(io, [&] { return !host.state.upstream_limits.limit_of(upstream); }));
}

TEST(feed, subscribers_of_another_failure_domain_relay_to_the_rest_of_it) {
  asio::io_context io;
  feed_host root(io, {}, {.subscribers_per_other_domain = 1});
  root.replica.set_watching(true);
  std::vector<std::unique_ptr<feed_host>> hosts;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(std::make_unique<feed_host>(io, std::vector{root.feed_address}));
    hosts.back()->state.options.failure_domain = base::failure_domain_id("other");
  }
  ASSERT_TRUE(run_until(io, [&] {
    return std::ranges::all_of(hosts, [](const auto& host) { return host->client.up_to_date(); });
  }));
  EXPECT_EQ(root.server.subscriber_count(), 1U);
}

}  // namespace
}  // namespace catkintack::control
