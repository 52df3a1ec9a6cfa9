#include "catkintack/control/quota_exchange.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "catkintack/control/message_channel.hpp"
#include "quota_host.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::free_udp_address;
using tests::press_customer;
using tests::quota_host;

/// @brief An authority and another host, with clocks that differ by minutes.
struct quota_fleet {
  quota_fleet() { other.now += std::chrono::minutes(7); }
  bool run_until(const std::function<bool()>& holds) {
    const auto limit = std::chrono::steady_clock::now() + seconds(20);
    while (!holds() && std::chrono::steady_clock::now() < limit) {
      io.run_one_for(milliseconds(20));
    }
    return holds();
  }

  asio::io_context io;
  base::address where = free_udp_address();
  quota_host authority{io, where, {where}};
  quota_host other{io, free_udp_address(), {where}};
};

TEST(quota_exchange, calls_of_another_host_are_admitted_up_to_the_cap) {
  quota_fleet fleet;
  for (int i = 0; i < 20; ++i) {
    fleet.other.call();
  }
  ASSERT_TRUE(fleet.run_until([&] { return fleet.other.decisions.size() == 20; }));
  const auto admitted = std::ranges::count_if(
      fleet.other.decisions, [](const auto& decision) { return decision.admitted; });
  EXPECT_GE(admitted, 3);
  EXPECT_LE(admitted, 4);
  const serving::quota_decision& refused = fleet.other.decisions.back();
  EXPECT_EQ(refused.status, 429U);
  EXPECT_GT(refused.retry_after, base::duration(0));
  EXPECT_TRUE(fleet.other.has_logged("call_refused_by_cap"));
}

TEST(quota_exchange, authority_admits_its_own_calls_without_a_message) {
  quota_fleet fleet;
  fleet.authority.call();
  fleet.io.poll();
  ASSERT_EQ(fleet.authority.decisions.size(), 1U);
  EXPECT_TRUE(fleet.authority.decisions[0].admitted);
}

// Guards against a host that admits a customer whose cap its authorities cannot check yet.
TEST(quota_exchange, customer_that_the_authority_does_not_know_is_unavailable) {
  quota_fleet fleet;
  fleet.authority.set_customers({});
  fleet.other.call();
  ASSERT_TRUE(fleet.run_until([&] { return !fleet.other.decisions.empty(); }));
  EXPECT_EQ(fleet.other.decisions[0].status, 503U);
}

TEST(quota_exchange, host_without_answers_is_detached_until_the_next_one) {
  quota_fleet fleet;
  fleet.other.call();
  ASSERT_TRUE(fleet.run_until([&] { return fleet.other.decisions.size() == 1; }));
  // Time passes without a datagram; only then do the heartbeats go out.
  fleet.other.now += seconds(2);
  EXPECT_TRUE(fleet.other.exchange.detached());
  fleet.other.exchange.maintain();
  EXPECT_TRUE(fleet.other.has_logged("quota_detached"));
  ASSERT_TRUE(fleet.run_until([&] { return !fleet.other.exchange.detached(); }));
  EXPECT_TRUE(fleet.other.has_logged("quota_attached"));
}

// Guards against a process that ends, or believes nonsense, after one malformed message.
TEST(quota_exchange, malformed_datagrams_change_nothing) {
  quota_fleet fleet;
  udp::socket sender(fleet.io, udp::v4());
  const udp::endpoint target(asio::ip::make_address(fleet.where.ip), fleet.where.port);
  const auto send = [&](const std::string& bytes) { sender.send_to(asio::buffer(bytes), target); };
  const std::string valid = encode(quota_message{.customer = press_customer.id});
  for (std::size_t length = 0; length < valid.size(); ++length) {
    send(valid.substr(0, length));
  }
  send(std::string(1500, '\xff'));
  send(encode(quota_message{.kind = static_cast<quota_message_kind>(77)}));
  send(encode(quota_message{.kind = quota_message_kind::reply, .granted = 100}));
  send(encode(quota_message{.kind = quota_message_kind::request,
                            .customer = press_customer.id,
                            .wanted = 0xffffffff,
                            .refused_before = 0xffffffff,
                            .lease_run = base::incarnation(5),
                            .lease_share = 1e300,
                            .host_count = 0xffffffff}));
  send(encode(quota_message{.kind = quota_message_kind::authorities, .epoch = 9}));
  send(encode(quota_message{
      .kind = quota_message_kind::authorities, .epoch = 9, .holders = {{"no address", 1}}}));
  fleet.other.now += seconds(30);
  fleet.authority.now += seconds(30);
  fleet.other.call();
  ASSERT_TRUE(fleet.run_until([&] { return !fleet.other.decisions.empty(); }));
  EXPECT_NE(fleet.other.decisions[0].status, 503U);
  EXPECT_TRUE(fleet.authority.has_logged("quota_message_refused"));
}

// Guards against hosts that never receive a change: the former authority must stop giving out
// tokens.
TEST(quota_exchange, hosts_tell_each_other_the_latest_authorities) {
  quota_fleet fleet;
  quota_host next(fleet.io, free_udp_address());
  const limits::quota_authorities latest{.epoch = 2, .holders = {next.exchange.self()}};
  next.exchange.adopt({.authorities = latest, .host_count = 2});
  fleet.other.exchange.adopt({.authorities = latest, .host_count = 2});
  ASSERT_TRUE(fleet.run_until([&] { return fleet.authority.exchange.authorities().epoch == 2; }));
  EXPECT_FALSE(fleet.authority.exchange.counted_hosts());
  EXPECT_TRUE(next.exchange.counted_hosts());
}

TEST(quota_exchange, host_without_authorities_asks_its_seeds) {
  quota_fleet fleet;
  quota_host fresh(fleet.io, free_udp_address());
  fresh.exchange.set_seeds({fleet.where});
  fresh.exchange.maintain();
  ASSERT_TRUE(fleet.run_until([&] { return fresh.exchange.authorities().epoch == 1; }));
  fresh.call();
  ASSERT_TRUE(fleet.run_until([&] { return !fresh.decisions.empty(); }));
  EXPECT_TRUE(fresh.decisions[0].admitted);
}

// Guards against queries without end in a deployment that has no customers.
TEST(quota_exchange, host_without_customers_asks_no_seed) {
  quota_fleet fleet;
  quota_host fresh(fleet.io, free_udp_address());
  fresh.set_customers({});
  fresh.exchange.set_seeds({fleet.where});
  fresh.exchange.maintain();
  for (int i = 0; i < 20; ++i) {
    fleet.io.poll();
  }
  EXPECT_EQ(fresh.exchange.authorities().epoch, 0U);
}

TEST(quota_exchange, query_is_answered_when_the_authorities_become_known) {
  quota_fleet fleet;
  quota_host seed(fleet.io, free_udp_address());
  quota_host fresh(fleet.io, free_udp_address());
  fresh.exchange.set_seeds({seed.exchange.self()});
  fresh.exchange.maintain();
  for (int i = 0; i < 20; ++i) {
    fleet.io.poll();
  }
  seed.exchange.adopt({.authorities = {.epoch = 1, .holders = {fleet.where}}});
  EXPECT_TRUE(fleet.run_until([&] { return fresh.exchange.authorities().epoch == 1; }));
}

TEST(quota_exchange, older_authorities_are_ignored) {
  quota_fleet fleet;
  fleet.other.exchange.adopt(
      {.authorities = {.epoch = 4, .holders = {fleet.other.exchange.self()}}});
  fleet.other.exchange.adopt({.authorities = {.epoch = 3, .holders = {fleet.where}}});
  EXPECT_EQ(fleet.other.exchange.authorities().epoch, 4U);
}

TEST(quota_exchange, share_of_a_host_that_is_not_heard_is_not_usable) {
  quota_fleet fleet;
  EXPECT_EQ(fleet.other.exchange.usable_share(), 1);
  const auto exchange_heartbeats = [&] {
    for (int i = 0; i < 10; ++i) {
      fleet.authority.exchange.maintain();
      fleet.other.exchange.maintain();
      for (int turn = 0; turn < 4; ++turn) {
        fleet.io.poll();
        fleet.io.restart();
      }
      fleet.authority.now += milliseconds(400);
      fleet.other.now += milliseconds(400);
    }
  };
  exchange_heartbeats();
  EXPECT_EQ(fleet.authority.exchange.usable_share(), 1);
  for (int i = 0; i < 5; ++i) {
    fleet.authority.now += milliseconds(400);
    fleet.authority.exchange.maintain();
  }
  EXPECT_NEAR(fleet.authority.exchange.usable_share(), 0.5, 1e-6);
  // Without customers, there are no heartbeats.
  fleet.authority.set_customers({});
  EXPECT_EQ(fleet.authority.exchange.usable_share(), 1);
}

}  // namespace
}  // namespace catkintack::control
