// Fleets whose settings name different or missing seeds, and a registry that appoints the
// authorities.
#include "catkintack/control/quota_keeper.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "quota_host.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::free_udp_address;
using tests::quota_host;

const base::address a{"10.0.0.1", 9};
const base::address b{"10.0.0.2", 9};
const base::address c{"10.0.0.3", 9};
const base::address d{"10.0.0.4", 9};

/// @brief Returns the authorities that a host would write; epoch 0 if it would not.
limits::quota_authorities appoint(const limits::quota_authorities& current,
                                  const base::address& self,
                                  const std::vector<base::address>& seeds,
                                  const std::vector<std::size_t>& unreachable) {
  const auto is_unreachable = [&](std::size_t slot) {
    return std::ranges::find(unreachable, slot) != unreachable.end();
  };
  return appoint_authorities(
             {.current = current, .self = self, .seeds = seeds, .is_unreachable = is_unreachable})
      .value_or(limits::quota_authorities{});
}

TEST(appoint_authorities, first_ones_are_the_first_three_seeds) {
  const auto first = appoint({}, b, {a, b, a, c, d}, {});
  EXPECT_EQ(first.epoch, 1U);
  EXPECT_EQ(first.holders, (std::vector{a, b, c}));
  EXPECT_EQ(appoint({}, d, {a, b, c, d}, {}).epoch, 0U);
}

// Guards against two sets of authorities, each of which gives out the whole cap.
TEST(appoint_authorities, holder_that_answers_keeps_its_slot_whatever_the_settings_say) {
  EXPECT_EQ(appoint({.epoch = 3, .holders = {a, b}}, c, {c, d}, {}).epoch, 0U);
}

TEST(appoint_authorities, seed_that_does_not_answer_keeps_its_slot) {
  EXPECT_EQ(appoint({.epoch = 3, .holders = {a, b}}, c, {a, b, c}, {0, 1}).epoch, 0U);
}

// Guards against caps without a holder: the former seeds are unreachable, and the settings name
// others.
TEST(appoint_authorities, seed_takes_the_slot_of_an_unreachable_holder_that_is_no_seed) {
  const auto next = appoint({.epoch = 3, .holders = {a, b}}, c, {c, b}, {0});
  EXPECT_EQ(next.epoch, 4U);
  EXPECT_EQ(next.holders, (std::vector{c, b}));
  EXPECT_EQ(appoint(next, c, {c, d}, {1}).epoch, 0U) << "a host holds one slot at most";
}

TEST(appoint_authorities, seeds_begin_at_different_slots) {
  const limits::quota_authorities lost{.epoch = 1, .holders = {a, b}};
  EXPECT_EQ(appoint(lost, c, {c, d}, {0, 1}).holders, (std::vector{c, b}));
  EXPECT_EQ(appoint(lost, d, {c, d}, {0, 1}).holders, (std::vector{a, d}));
}

/// @brief A registry with one entry, shared by all hosts.
struct shared_registry {
  quota_registry_hooks hooks() {
    return {.read = [this] { return read(); },
            .write = [this](quota_record record) { return write(std::move(record)); }};
  }
  asio::awaitable<quota_record_result> read() {
    ++reads;
    co_return available ? quota_record_result{change_outcome::done, entry}
                        : quota_record_result{.detail = "no answer"};
  }
  asio::awaitable<quota_record_result> write(quota_record record) {
    ++writes;
    if (!available) {
      co_return quota_record_result{.detail = "no answer"};
    }
    if (record.revision != entry.revision) {
      co_return quota_record_result{change_outcome::conflict, entry};
    }
    const bool lost = std::exchange(loses_next_answer, false);
    entry = std::move(record);
    entry.revision = ++revision;
    co_return lost ? quota_record_result{.detail = "no answer"}
                   : quota_record_result{change_outcome::done, entry};
  }

  quota_record entry;
  std::uint64_t revision = 10;
  bool available = true;
  bool loses_next_answer = false;  ///< The next write is made, and its answer is lost.
  int reads = 0;
  int writes = 0;
};

struct kept_host {
  kept_host(asio::io_context& io, shared_registry& registry, const base::address& self)
      : host(io, self), keeper(io.get_executor(), host.state, host.exchange, registry.hooks()) {}
  quota_host host;
  quota_keeper keeper;
};

/// @brief Hosts whose clocks the test moves.
struct kept_fleet {
  std::size_t start() { return start(free_udp_address()); }
  std::size_t start(const base::address& self) {
    hosts.push_back(std::make_unique<kept_host>(io, registry, self));
    hosts.back()->host.now = now;
    return hosts.size() - 1;
  }
  void set_seeds(const std::vector<std::size_t>& members, const std::vector<base::address>& seeds) {
    for (const std::size_t member : members) {
      hosts[member]->host.exchange.set_seeds(seeds);
    }
  }
  base::address address(std::size_t index) const { return hosts[index]->host.exchange.self(); }
  const limits::quota_authorities& authorities(std::size_t index) const {
    return hosts[index]->host.exchange.authorities();
  }
  void run(base::duration span) {
    constexpr base::duration step = milliseconds(50);
    for (base::duration passed{}; passed < span; passed += step) {
      now += step;
      for (const auto& one : hosts) {
        if (one) {
          one->host.now = now;
          one->host.exchange.maintain();
          asio::co_spawn(
              io, [keeper = &one->keeper]() -> asio::awaitable<void> { co_await keeper->check(); },
              asio::detached);
        }
      }
      for (int i = 0; i < 20; ++i) {
        io.poll();
      }
    }
  }
  std::size_t admitted(std::size_t index) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        hosts[index]->host.decisions, [](const auto& one) { return one.admitted; }));
  }

  asio::io_context io;
  shared_registry registry;
  base::instant now{seconds(1000)};
  std::vector<std::unique_ptr<kept_host>> hosts;
};

// Guards against hosts that refuse the calls of capped customers for good: they start while the
// seeds are gone, and later get settings that name themselves.
TEST(quota_keeper, hosts_that_start_without_the_seeds_become_authorities) {
  kept_fleet fleet;
  const std::vector<base::address> gone = {free_udp_address(), free_udp_address()};
  fleet.registry.entry = {
      .authorities = {.epoch = 5, .holders = gone}, .host_count = 4, .revision = 10};
  fleet.start();
  fleet.start();
  fleet.set_seeds({0, 1}, gone);
  fleet.run(seconds(6));
  EXPECT_EQ(fleet.authorities(0).epoch, 5U);
  fleet.set_seeds({0, 1}, {fleet.address(0), fleet.address(1)});
  fleet.run(seconds(4));
  EXPECT_EQ(fleet.authorities(0).holders, (std::vector{fleet.address(0), fleet.address(1)}));
  EXPECT_EQ(fleet.authorities(1), fleet.authorities(0));
  EXPECT_EQ(fleet.authorities(0), fleet.registry.entry.authorities);
  fleet.run(seconds(3));
  for (int i = 0; i < 4; ++i) {
    fleet.hosts[0]->host.call();
    fleet.run(milliseconds(700));
  }
  EXPECT_GE(fleet.admitted(0), 3U);
}

// Guards against a cap that is given out twice: hosts that were started with other seeds have the
// same authorities as the rest.
TEST(quota_keeper, hosts_with_two_lists_of_seeds_have_the_same_authorities) {
  kept_fleet fleet;
  for (int i = 0; i < 4; ++i) {
    fleet.start();
  }
  const std::vector<base::address> before = {fleet.address(0), fleet.address(1)};
  const std::vector<base::address> after = {fleet.address(2), fleet.address(3)};
  fleet.set_seeds({0, 1, 2, 3}, before);
  fleet.run(seconds(3));
  fleet.set_seeds({2, 3}, after);
  // Host 3 restarts with the new list.
  const base::address restarted = fleet.address(3);
  fleet.hosts[3].reset();
  fleet.start(restarted);
  fleet.set_seeds({4}, after);
  fleet.run(seconds(6));
  for (const std::size_t host : {0U, 1U, 2U, 4U}) {
    EXPECT_EQ(fleet.authorities(host).holders, before) << host;
  }
}

// Guards against a seed that comes back and gives out the slot that another host has taken over.
TEST(quota_keeper, seed_that_returns_finds_its_slot_taken) {
  kept_fleet fleet;
  fleet.start();
  fleet.start();
  const std::vector<base::address> before = {fleet.address(0)};
  const std::vector<base::address> after = {fleet.address(1)};
  fleet.set_seeds({0, 1}, before);
  fleet.run(seconds(3));
  ASSERT_EQ(fleet.authorities(1).holders, before);
  fleet.hosts[0].reset();
  fleet.set_seeds({1}, after);
  fleet.run(seconds(5));
  ASSERT_EQ(fleet.authorities(1).holders, after);
  fleet.start(before[0]);
  fleet.set_seeds({2}, before);
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.authorities(2).holders, after);
  EXPECT_FALSE(fleet.hosts[2]->host.exchange.counted_hosts());
}

// Guards against a host that holds a slot without knowing of the former holder's share.
TEST(quota_keeper, write_whose_answer_is_lost_is_read_again) {
  kept_fleet fleet;
  fleet.registry.entry = {.authorities = {.epoch = 5, .holders = {free_udp_address()}},
                          .host_count = 4,
                          .revision = 10};
  fleet.start();
  fleet.set_seeds({0}, {fleet.address(0)});
  fleet.run(milliseconds(200));
  ASSERT_EQ(fleet.authorities(0).epoch, 5U);
  fleet.registry.loses_next_answer = true;
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.authorities(0).epoch, 6U);
  EXPECT_EQ(fleet.hosts[0]->host.exchange.counted_hosts(), 4U);
}

// Guards against calls to the registry in steady state.
TEST(quota_keeper, registry_is_not_called_while_the_authorities_answer) {
  kept_fleet fleet;
  for (int i = 0; i < 4; ++i) {
    fleet.start();
  }
  fleet.set_seeds({0, 1, 2, 3}, {fleet.address(0), fleet.address(1), fleet.address(2)});
  fleet.run(seconds(15));
  EXPECT_EQ(fleet.registry.entry.host_count, 4U);
  const int calls = fleet.registry.reads + fleet.registry.writes;
  fleet.run(seconds(30));
  EXPECT_EQ(fleet.registry.reads + fleet.registry.writes, calls);
}

// Guards against refusals after all hosts restarted: the authorities are known when the
// configuration arrives, also to hosts that asked before a seed knew them.
TEST(quota_keeper, authorities_are_known_before_the_configuration) {
  kept_fleet fleet;
  fleet.start();
  fleet.start();
  fleet.registry.entry = {
      .authorities = {.epoch = 5, .holders = {fleet.address(0)}}, .host_count = 2, .revision = 10};
  for (const auto& one : fleet.hosts) {
    one->host.state.table = nullptr;
  }
  fleet.set_seeds({0, 1}, {fleet.address(0)});
  fleet.run(milliseconds(100));
  EXPECT_EQ(fleet.authorities(0).epoch, 5U);
  EXPECT_EQ(fleet.authorities(1).epoch, 5U);
  EXPECT_EQ(fleet.registry.reads, 1);
}

TEST(quota_keeper, deployment_without_customers_gets_no_authorities) {
  kept_fleet fleet;
  fleet.start();
  fleet.hosts[0]->host.set_customers({});
  fleet.set_seeds({0}, {fleet.address(0)});
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.registry.reads, 1);
  EXPECT_EQ(fleet.registry.writes, 0);
}

// Guards against a fleet whose hosts all read the registry without a pause while the seeds are
// down.
TEST(quota_keeper, hosts_that_are_no_seeds_read_a_missing_entry_seldom) {
  kept_fleet fleet;
  fleet.start();
  fleet.set_seeds({0}, {free_udp_address()});
  fleet.run(seconds(11));
  EXPECT_LE(fleet.registry.reads, 5);
  EXPECT_EQ(fleet.registry.writes, 0);
}

TEST(quota_keeper, entry_of_a_restored_store_does_not_bring_back_former_authorities) {
  kept_fleet fleet;
  fleet.start();
  fleet.registry.entry = {
      .authorities = {.epoch = 2, .holders = {fleet.address(0)}}, .host_count = 0, .revision = 10};
  const limits::quota_authorities later{.epoch = 7, .holders = {free_udp_address()}};
  fleet.hosts[0]->host.exchange.adopt({.authorities = later});
  fleet.set_seeds({0}, {fleet.address(0)});
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.registry.entry.authorities.epoch, 8U);
  EXPECT_EQ(fleet.authorities(0), fleet.registry.entry.authorities);
}

}  // namespace
}  // namespace catkintack::control
