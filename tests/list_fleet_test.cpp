#include "list_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

namespace catkintack::tests {
namespace {

using config::list_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The users' bound between an accepted edit and every host.
constexpr base::duration in_force_bound = seconds(7);
constexpr std::size_t plans = config::index_of(list_kind::plans);

bool has_event(const virtual_host& host, const std::string& kind) {
  return std::find(host.events.begin(), host.events.end(), kind) != host.events.end();
}

TEST(list_fleet, an_edit_is_in_force_everywhere_within_two_seconds) {
  list_fleet fleet(17, 3, 1);
  fleet.start_all();
  fleet.run(seconds(5));
  const auto stamp = fleet.write(list_kind::plans);
  fleet.run(seconds(2));
  EXPECT_TRUE(fleet.all_have(list_kind::plans, stamp.version));
}

TEST(list_fleet, store_calls_do_not_grow_with_the_fleet) {
  std::vector<std::uint64_t> calls;
  for (const std::size_t hosts : {6U, 17U, 40U}) {
    list_fleet fleet(hosts, 3, 1);
    fleet.start_all();
    fleet.run(seconds(10));
    fleet.store_calls = 0;
    fleet.run(seconds(60));
    calls.push_back(fleet.store_calls);
  }
  // Two watchers a region, two lists, a watch and a read in each two seconds: 12 calls/s in all.
  for (const std::uint64_t count : calls) {
    EXPECT_LE(count, 60U * 13U);
  }
}

TEST(list_fleet, few_calls_reach_a_store_that_returns) {
  list_fleet fleet(40, 3, 1);
  fleet.write(list_kind::plans);
  fleet.start_all();
  fleet.run(seconds(10));
  fleet.store.outage = true;
  fleet.run(seconds(60));
  fleet.store_calls = 0;
  fleet.run(seconds(10));
  EXPECT_LE(fleet.store_calls, 12U * 10U);
  fleet.store.outage = false;
  fleet.store_calls = 0;
  fleet.run(seconds(1));
  EXPECT_LE(fleet.store_calls, 60U);
}

TEST(list_fleet, a_silent_watch_is_noticed_by_the_read_after_it) {
  list_fleet fleet(17, 3, 1);
  fleet.write(list_kind::plans);
  fleet.start_all();
  fleet.run(seconds(5));
  fleet.store.silent_watch = true;
  const auto stamp = fleet.write(list_kind::plans);
  fleet.run(in_force_bound);
  EXPECT_TRUE(fleet.all_have(list_kind::plans, stamp.version));
}

TEST(list_fleet, a_new_host_learns_from_peers_in_an_outage) {
  list_fleet fleet(5, 1, 1);
  const auto stamp = fleet.write(list_kind::plans);
  for (const std::size_t host : {0U, 1U, 2U, 3U}) {
    fleet.start(host);
  }
  fleet.run(seconds(5));
  fleet.store.outage = true;
  fleet.start(4);
  fleet.run(milliseconds(500));
  EXPECT_FALSE(fleet.hosts[4].lists->caught_up());
  fleet.run(in_force_bound);
  EXPECT_TRUE(fleet.hosts[4].lists->caught_up());
  EXPECT_EQ(fleet.hosts[4].lists->in_force().at(plans), stamp);
}

TEST(list_fleet, a_host_alone_in_an_outage_is_not_ready) {
  list_fleet fleet(1, 1, 1);
  fleet.store.outage = true;
  fleet.start_all();
  fleet.run(seconds(60));
  EXPECT_FALSE(fleet.hosts[0].lists->caught_up());
  fleet.heal();
  fleet.run(in_force_bound);
  EXPECT_TRUE(fleet.hosts[0].lists->caught_up());
}

TEST(list_fleet, a_new_host_takes_peers_newer_list_before_a_store_restored_old) {
  list_fleet fleet(5, 1, 1);
  fleet.write(list_kind::plans);
  const auto newest = fleet.write(list_kind::plans);
  for (const std::size_t host : {0U, 1U, 2U, 3U}) {
    fleet.start(host);
  }
  fleet.run(seconds(5));
  fleet.restore(list_kind::plans, 1);
  fleet.start(4);
  bool ready_on_old = false;
  for (int turn = 0; turn < 100; ++turn) {
    fleet.run(milliseconds(100));
    const config::list_sync& lists = *fleet.hosts[4].lists;
    ready_on_old = ready_on_old || (lists.caught_up() && lists.in_force().at(plans) != newest);
  }
  EXPECT_FALSE(ready_on_old);
  EXPECT_TRUE(fleet.all_have(list_kind::plans, newest.version));
  EXPECT_FALSE(fleet.version_fell);
}

TEST(list_fleet, a_store_restored_old_is_reported_once_and_reverts_no_host) {
  list_fleet fleet(4, 2, 1);
  fleet.write(list_kind::plans);
  const auto newest = fleet.write(list_kind::plans);
  fleet.start_all();
  fleet.run(seconds(5));
  fleet.restore(list_kind::plans, 1);
  fleet.run(seconds(20));
  EXPECT_TRUE(fleet.all_have(list_kind::plans, newest.version));
  for (const virtual_host& host : fleet.hosts) {
    EXPECT_EQ(std::count(host.events.begin(), host.events.end(), "store_older"),
              host.lists->watching() ? 1 : 0);
  }
}

TEST(list_fleet, another_edit_under_the_same_version_is_reported) {
  list_fleet fleet(2, 1, 1);
  fleet.write(list_kind::plans);
  const auto known = fleet.write(list_kind::plans);
  fleet.start_all();
  fleet.run(seconds(5));
  fleet.restore(list_kind::plans, 1);
  fleet.write(list_kind::plans);
  fleet.run(seconds(10));
  EXPECT_EQ(fleet.hosts[0].lists->in_force().at(plans), known);
  EXPECT_TRUE(has_event(fleet.hosts[0], "store_diverged"));
}

TEST(list_fleet, a_frozen_host_is_not_caught_up_until_it_has_the_newest) {
  list_fleet fleet(5, 1, 1);
  fleet.write(list_kind::plans);
  fleet.start_all();
  fleet.run(seconds(5));
  fleet.hosts[2].frozen = true;
  fleet.run(seconds(10));
  const auto newest = fleet.write(list_kind::plans);
  fleet.run(seconds(5));
  fleet.hosts[2].frozen = false;
  bool ready_on_old = false;
  for (int turn = 0; turn < 70; ++turn) {
    fleet.run(milliseconds(100));
    const config::list_sync& lists = *fleet.hosts[2].lists;
    ready_on_old = ready_on_old || (lists.caught_up() && lists.in_force().at(plans) != newest);
  }
  EXPECT_FALSE(ready_on_old);
  EXPECT_TRUE(fleet.hosts[2].lists->caught_up());
  EXPECT_EQ(fleet.hosts[2].lists->in_force().at(plans), newest);
}

TEST(list_fleet, a_cut_region_keeps_its_lists_and_follows_after_the_cut) {
  list_fleet fleet(9, 3, 1);
  const auto first = fleet.write(list_kind::plans);
  fleet.start_all();
  fleet.run(seconds(5));
  fleet.cut_region = base::region_id("region-2");
  const auto second = fleet.write(list_kind::plans);
  fleet.run(seconds(30));
  EXPECT_EQ(fleet.hosts[2].lists->in_force().at(plans), first);
  EXPECT_TRUE(fleet.hosts[2].lists->caught_up());
  EXPECT_EQ(fleet.hosts[0].lists->in_force().at(plans), second);
  fleet.heal();
  fleet.run(in_force_bound);
  EXPECT_TRUE(fleet.all_have(list_kind::plans, second.version));
}

TEST(list_fleet, a_slow_store_holds_an_edit_up_and_no_longer) {
  list_fleet fleet(6, 2, 1);
  fleet.write(list_kind::plans);
  fleet.start_all();
  fleet.run(seconds(5));
  fleet.store.delay = seconds(10);
  const auto stamp = fleet.write(list_kind::plans);
  fleet.run(seconds(30));
  fleet.heal();
  fleet.run(in_force_bound);
  EXPECT_TRUE(fleet.all_have(list_kind::plans, stamp.version));
}

/// One random fault or edit.
void disturb(list_fleet& fleet) {
  const std::size_t host = *rc::gen::inRange<std::size_t>(0, fleet.hosts.size());
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
    case 2:
      fleet.write(*rc::gen::element(list_kind::plans, list_kind::allowances));
      break;
    case 3:
      fleet.store.outage = !fleet.store.outage;
      break;
    case 4:
      fleet.store.silent_watch = !fleet.store.silent_watch;
      break;
    case 5:
      fleet.store.delay =
          *rc::gen::element<base::duration>(milliseconds(1), milliseconds(900), seconds(10));
      break;
    case 6:
      fleet.hosts[host].frozen = !fleet.hosts[host].frozen;
      break;
    case 7:
      fleet.loss_percent = *rc::gen::inRange(0U, 80U);
      break;
    case 8:
      fleet.longest_delay = *rc::gen::element<base::duration>(milliseconds(15), seconds(4));
      break;
    case 9:
      fleet.cut_region = fleet.hosts[host].region;
      break;
    case 10:
      fleet.cut_region.reset();
      break;
    default:
      fleet.start(host);
  }
}

std::uint64_t interleavings = 0;

RC_GTEST_PROP(list_fleet_property, versions_never_fall_and_hosts_reach_the_newest, ()) {
  list_fleet fleet(*rc::gen::inRange<std::size_t>(2, 12), *rc::gen::inRange<std::size_t>(1, 4),
                   *rc::gen::arbitrary<std::uint64_t>());
  fleet.start_all();
  for (int turn = *rc::gen::inRange(1, 25); turn > 0; --turn) {
    disturb(fleet);
    fleet.run(milliseconds(*rc::gen::inRange(0, 5000)));
    RC_ASSERT(!fleet.version_fell);
  }
  fleet.heal();
  const auto last_plans = fleet.write(list_kind::plans);
  const auto last_allowances = fleet.write(list_kind::allowances);
  fleet.run(in_force_bound);
  ++interleavings;
  RC_ASSERT(!fleet.version_fell);
  RC_ASSERT(fleet.all_have(list_kind::plans, last_plans.version));
  RC_ASSERT(fleet.all_have(list_kind::allowances, last_allowances.version));
}

RC_GTEST_PROP(list_fleet_property, a_restored_store_reverts_no_host, ()) {
  list_fleet fleet(*rc::gen::inRange<std::size_t>(2, 8), 2, *rc::gen::arbitrary<std::uint64_t>());
  const int versions = *rc::gen::inRange(2, 6);
  base::list_version newest;
  for (int version = 0; version < versions; ++version) {
    newest = fleet.write(list_kind::plans).version;
  }
  fleet.start_all();
  fleet.run(seconds(5));
  fleet.restore(list_kind::plans, *rc::gen::inRange<std::uint64_t>(1, newest.value()));
  for (int turn = *rc::gen::inRange(1, 8); turn > 0; --turn) {
    const std::size_t host = *rc::gen::inRange<std::size_t>(1, fleet.hosts.size());
    fleet.hosts[host].frozen = !fleet.hosts[host].frozen;
    fleet.store.outage = *rc::gen::arbitrary<bool>();
    fleet.run(milliseconds(*rc::gen::inRange(0, 5000)));
  }
  fleet.heal();
  fleet.run(in_force_bound);
  ++interleavings;
  RC_ASSERT(!fleet.version_fell);
  RC_ASSERT(fleet.all_have(list_kind::plans, newest));
}

class interleaving_count : public ::testing::Environment {
 public:
  void TearDown() override { std::cout << "interleavings tried: " << interleavings << "\n"; }
};

const auto* const registered =
    ::testing::AddGlobalTestEnvironment(std::make_unique<interleaving_count>().release());

}  // namespace
}  // namespace catkintack::tests
