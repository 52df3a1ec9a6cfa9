#include "list_sync_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

namespace catkintack::tests {
namespace {

using config::list_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The users' limit for the time from an accepted edit until every host has it in force.
constexpr base::duration propagation_bound = seconds(7);
constexpr std::size_t plans = config::index_of(list_kind::plans);

bool has_event(const simulated_host& host, const std::string& kind) {
  return std::find(host.events.begin(), host.events.end(), kind) != host.events.end();
}

TEST(list_sync_simulation, edit_is_in_force_on_every_host_within_two_seconds) {
  list_sync_simulation simulation(17, 3, 1);
  simulation.start_all();
  simulation.run(seconds(5));
  const auto stamp = simulation.write(list_kind::plans);
  simulation.run(seconds(2));
  EXPECT_TRUE(simulation.all_have_in_force(list_kind::plans, stamp.version));
}

TEST(list_sync_simulation, store_call_rate_is_independent_of_host_count) {
  std::vector<std::uint64_t> calls;
  for (const std::size_t hosts : {6U, 17U, 40U}) {
    list_sync_simulation simulation(hosts, 3, 1);
    simulation.start_all();
    simulation.run(seconds(10));
    simulation.store_calls = 0;
    simulation.run(seconds(60));
    calls.push_back(simulation.store_calls);
  }
  // Two watching hosts in each of three regions and two lists, each with one watch and one read per
  // two seconds: 12 calls/s in total.
  for (const std::uint64_t count : calls) {
    EXPECT_LE(count, 60U * 13U);
  }
}

TEST(list_sync_simulation, recovering_store_receives_few_calls) {
  list_sync_simulation simulation(40, 3, 1);
  simulation.write(list_kind::plans);
  simulation.start_all();
  simulation.run(seconds(10));
  simulation.store.outage = true;
  simulation.run(seconds(60));
  simulation.store_calls = 0;
  simulation.run(seconds(10));
  EXPECT_LE(simulation.store_calls, 12U * 10U);
  simulation.store.outage = false;
  simulation.store_calls = 0;
  simulation.run(seconds(1));
  EXPECT_LE(simulation.store_calls, 60U);
}

TEST(list_sync_simulation, periodic_read_detects_a_silent_watch) {
  list_sync_simulation simulation(17, 3, 1);
  simulation.write(list_kind::plans);
  simulation.start_all();
  simulation.run(seconds(5));
  simulation.store.silent_watch = true;
  const auto stamp = simulation.write(list_kind::plans);
  simulation.run(propagation_bound);
  EXPECT_TRUE(simulation.all_have_in_force(list_kind::plans, stamp.version));
}

TEST(list_sync_simulation, new_host_fetches_lists_from_peers_during_store_outage) {
  list_sync_simulation simulation(5, 1, 1);
  const auto stamp = simulation.write(list_kind::plans);
  for (const std::size_t host : {0U, 1U, 2U, 3U}) {
    simulation.start(host);
  }
  simulation.run(seconds(5));
  simulation.store.outage = true;
  simulation.start(4);
  simulation.run(milliseconds(500));
  EXPECT_FALSE(simulation.hosts[4].lists->caught_up());
  simulation.run(propagation_bound);
  EXPECT_TRUE(simulation.hosts[4].lists->caught_up());
  EXPECT_EQ(simulation.hosts[4].lists->in_force().at(plans), stamp);
}

TEST(list_sync_simulation, single_host_is_not_ready_during_store_outage) {
  list_sync_simulation simulation(1, 1, 1);
  simulation.store.outage = true;
  simulation.start_all();
  simulation.run(seconds(60));
  EXPECT_FALSE(simulation.hosts[0].lists->caught_up());
  simulation.clear_faults();
  simulation.run(propagation_bound);
  EXPECT_TRUE(simulation.hosts[0].lists->caught_up());
}

TEST(list_sync_simulation, new_host_prefers_newer_peer_list_to_restored_older_store) {
  list_sync_simulation simulation(5, 1, 1);
  simulation.write(list_kind::plans);
  const auto newest = simulation.write(list_kind::plans);
  for (const std::size_t host : {0U, 1U, 2U, 3U}) {
    simulation.start(host);
  }
  simulation.run(seconds(5));
  simulation.restore(list_kind::plans, 1);
  simulation.start(4);
  bool ready_on_stale_list = false;
  for (int turn = 0; turn < 100; ++turn) {
    simulation.run(milliseconds(100));
    const config::list_sync& lists = *simulation.hosts[4].lists;
    ready_on_stale_list =
        ready_on_stale_list || (lists.caught_up() && lists.in_force().at(plans) != newest);
  }
  EXPECT_FALSE(ready_on_stale_list);
  EXPECT_TRUE(simulation.all_have_in_force(list_kind::plans, newest.version));
  EXPECT_FALSE(simulation.version_decreased);
}

TEST(list_sync_simulation, store_restored_to_older_version_is_reported_once_and_reverts_no_host) {
  list_sync_simulation simulation(4, 2, 1);
  simulation.write(list_kind::plans);
  const auto newest = simulation.write(list_kind::plans);
  simulation.start_all();
  simulation.run(seconds(5));
  simulation.restore(list_kind::plans, 1);
  simulation.run(seconds(20));
  EXPECT_TRUE(simulation.all_have_in_force(list_kind::plans, newest.version));
  for (const simulated_host& host : simulation.hosts) {
    EXPECT_EQ(std::count(host.events.begin(), host.events.end(), "store_older"),
              host.lists->watching() ? 1 : 0);
  }
}

TEST(list_sync_simulation, different_edit_with_same_version_is_reported) {
  list_sync_simulation simulation(2, 1, 1);
  simulation.write(list_kind::plans);
  const auto known = simulation.write(list_kind::plans);
  simulation.start_all();
  simulation.run(seconds(5));
  simulation.restore(list_kind::plans, 1);
  simulation.write(list_kind::plans);
  simulation.run(seconds(10));
  EXPECT_EQ(simulation.hosts[0].lists->in_force().at(plans), known);
  EXPECT_TRUE(has_event(simulation.hosts[0], "store_diverged"));
}

TEST(list_sync_simulation, paused_host_is_not_caught_up_until_it_has_the_newest_list) {
  list_sync_simulation simulation(5, 1, 1);
  simulation.write(list_kind::plans);
  simulation.start_all();
  simulation.run(seconds(5));
  simulation.hosts[2].paused = true;
  simulation.run(seconds(10));
  const auto newest = simulation.write(list_kind::plans);
  simulation.run(seconds(5));
  simulation.hosts[2].paused = false;
  bool ready_on_stale_list = false;
  for (int turn = 0; turn < 70; ++turn) {
    simulation.run(milliseconds(100));
    const config::list_sync& lists = *simulation.hosts[2].lists;
    ready_on_stale_list =
        ready_on_stale_list || (lists.caught_up() && lists.in_force().at(plans) != newest);
  }
  EXPECT_FALSE(ready_on_stale_list);
  EXPECT_TRUE(simulation.hosts[2].lists->caught_up());
  EXPECT_EQ(simulation.hosts[2].lists->in_force().at(plans), newest);
}

TEST(list_sync_simulation, isolated_region_keeps_its_lists_and_catches_up_after_reconnecting) {
  list_sync_simulation simulation(9, 3, 1);
  const auto first = simulation.write(list_kind::plans);
  simulation.start_all();
  simulation.run(seconds(5));
  simulation.isolated_region = base::region_id("region-2");
  const auto second = simulation.write(list_kind::plans);
  simulation.run(seconds(30));
  EXPECT_EQ(simulation.hosts[2].lists->in_force().at(plans), first);
  EXPECT_TRUE(simulation.hosts[2].lists->caught_up());
  EXPECT_EQ(simulation.hosts[0].lists->in_force().at(plans), second);
  simulation.clear_faults();
  simulation.run(propagation_bound);
  EXPECT_TRUE(simulation.all_have_in_force(list_kind::plans, second.version));
}

TEST(list_sync_simulation, slow_store_delays_edits_only_while_it_is_slow) {
  list_sync_simulation simulation(6, 2, 1);
  simulation.write(list_kind::plans);
  simulation.start_all();
  simulation.run(seconds(5));
  simulation.store.delay = seconds(10);
  const auto stamp = simulation.write(list_kind::plans);
  simulation.run(seconds(30));
  simulation.clear_faults();
  simulation.run(propagation_bound);
  EXPECT_TRUE(simulation.all_have_in_force(list_kind::plans, stamp.version));
}

/// Applies one random fault, recovery or edit.
void inject_fault_or_edit(list_sync_simulation& simulation) {
  const std::size_t host = *rc::gen::inRange<std::size_t>(0, simulation.hosts.size());
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
    case 2:
      simulation.write(*rc::gen::element(list_kind::plans, list_kind::allowances));
      break;
    case 3:
      simulation.store.outage = !simulation.store.outage;
      break;
    case 4:
      simulation.store.silent_watch = !simulation.store.silent_watch;
      break;
    case 5:
      simulation.store.delay =
          *rc::gen::element<base::duration>(milliseconds(1), milliseconds(900), seconds(10));
      break;
    case 6:
      simulation.hosts[host].paused = !simulation.hosts[host].paused;
      break;
    case 7:
      simulation.loss_percent = *rc::gen::inRange(0U, 80U);
      break;
    case 8:
      simulation.max_delay = *rc::gen::element<base::duration>(milliseconds(15), seconds(4));
      break;
    case 9:
      simulation.isolated_region = simulation.hosts[host].region;
      break;
    case 10:
      simulation.isolated_region.reset();
      break;
    default:
      simulation.start(host);
  }
}

std::uint64_t interleavings = 0;

RC_GTEST_PROP(list_sync_simulation_property,
              versions_never_decrease_and_hosts_reach_the_newest,
              ()) {
  list_sync_simulation simulation(*rc::gen::inRange<std::size_t>(2, 12),
                                  *rc::gen::inRange<std::size_t>(1, 4),
                                  *rc::gen::arbitrary<std::uint64_t>());
  simulation.start_all();
  for (int turn = *rc::gen::inRange(1, 25); turn > 0; --turn) {
    inject_fault_or_edit(simulation);
    simulation.run(milliseconds(*rc::gen::inRange(0, 5000)));
    RC_ASSERT(!simulation.version_decreased);
  }
  simulation.clear_faults();
  const auto last_plans = simulation.write(list_kind::plans);
  const auto last_allowances = simulation.write(list_kind::allowances);
  simulation.run(propagation_bound);
  ++interleavings;
  RC_ASSERT(!simulation.version_decreased);
  RC_ASSERT(simulation.all_have_in_force(list_kind::plans, last_plans.version));
  RC_ASSERT(simulation.all_have_in_force(list_kind::allowances, last_allowances.version));
}

RC_GTEST_PROP(list_sync_simulation_property, restored_store_reverts_no_host, ()) {
  list_sync_simulation simulation(*rc::gen::inRange<std::size_t>(2, 8), 2,
                                  *rc::gen::arbitrary<std::uint64_t>());
  const int versions = *rc::gen::inRange(2, 6);
  base::list_version newest;
  for (int version = 0; version < versions; ++version) {
    newest = simulation.write(list_kind::plans).version;
  }
  simulation.start_all();
  simulation.run(seconds(5));
  simulation.restore(list_kind::plans, *rc::gen::inRange<std::uint64_t>(1, newest.value()));
  for (int turn = *rc::gen::inRange(1, 8); turn > 0; --turn) {
    const std::size_t host = *rc::gen::inRange<std::size_t>(1, simulation.hosts.size());
    simulation.hosts[host].paused = !simulation.hosts[host].paused;
    simulation.store.outage = *rc::gen::arbitrary<bool>();
    simulation.run(milliseconds(*rc::gen::inRange(0, 5000)));
  }
  simulation.clear_faults();
  simulation.run(propagation_bound);
  ++interleavings;
  RC_ASSERT(!simulation.version_decreased);
  RC_ASSERT(simulation.all_have_in_force(list_kind::plans, newest));
}

class interleaving_count_printer : public ::testing::Environment {
 public:
  void TearDown() override { std::cout << "interleavings tried: " << interleavings << "\n"; }
};

const auto* const registered =
    ::testing::AddGlobalTestEnvironment(std::make_unique<interleaving_count_printer>().release());

}  // namespace
}  // namespace catkintack::tests
