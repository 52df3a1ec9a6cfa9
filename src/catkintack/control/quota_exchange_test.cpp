#include "catkintack/control/quota_exchange.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "catkintack/control/message_channel.hpp"
#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::seconds;

const routes::customer_policy press_customer{.id = base::customer_id("press-co"),
                                             .rate_per_second = 3,
                                             .burst = 3};

base::address free_udp_address() {
  asio::io_context io;
  const udp::socket bound(io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", bound.local_endpoint().port()};
}

/// @brief A host with a clock of its own, which the test moves.
struct quota_host {
  quota_host(asio::io_context& io, const base::address& self, std::vector<base::address> seeds)
      : io_context(io),
        state(
            {},
            [this] { return now; },
            base::seeded_random_hook(1),
            log),
        exchange(io, state, {.self = self, .authorities = std::move(seeds)}) {
    EXPECT_FALSE(exchange.open());
    set_customers({press_customer});
  }
  void set_customers(const std::vector<routes::customer_policy>& customers) {
    routes::route_table_builder builder{base::list_version(1)};
    for (const auto& one : customers) {
      builder.add(one);
    }
    state.table = std::make_shared<const routes::route_table>(std::move(builder).build());
  }
  void call() {
    asio::co_spawn(
        io_context,
        [this]() -> asio::awaitable<void> {
          serving::quota_decision decision = co_await exchange.admit(press_customer);
          decisions.push_back(std::move(decision));
        },
        asio::detached);
  }
  bool has_logged(const std::string& event) const {
    return std::ranges::any_of(
        log_lines, [&](const std::string& line) { return line.find(event) != std::string::npos; });
  }

  base::instant now{seconds(1000)};
  std::vector<std::string> log_lines;
  logging::structured_log log{[] { return base::wall_time(); }, [this] { return now; },
                              [this](const std::string& line) { log_lines.push_back(line); }};
  asio::io_context& io_context;
  serving::traffic_state state;
  quota_exchange exchange;
  std::vector<serving::quota_decision> decisions;
};

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
  fleet.other.now += seconds(30);
  fleet.authority.now += seconds(30);
  fleet.other.call();
  ASSERT_TRUE(fleet.run_until([&] { return !fleet.other.decisions.empty(); }));
  EXPECT_NE(fleet.other.decisions[0].status, 503U);
  EXPECT_TRUE(fleet.authority.has_logged("quota_message_refused"));
}

}  // namespace
}  // namespace catkintack::control
