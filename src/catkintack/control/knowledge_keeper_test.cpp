#include "catkintack/control/knowledge_keeper.hpp"

#include <gtest/gtest.h>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::service_id press("press");

routes::route_table table_of(std::uint64_t version) {
  return routes::route_table_builder(base::list_version(version)).build();
}

directory::endpoint make(std::string id) {
  directory::endpoint result;
  result.record.id = base::upstream_id(std::move(id));
  result.record.service = press;
  result.record.where = {"10.0.0.1", 80};
  return result;
}

struct keeper_world {
  base::instant now{seconds(100)};
  std::vector<std::string> lines;
  logging::structured_log log{[] { return base::wall_time(); }, [this] { return now; },
                              [this](const std::string& line) { lines.push_back(line); }};
  serving::traffic_state state{{}, [this] { return now; }, base::seeded_random_hook(1), log};
  knowledge_keeper keeper{state};

  /// Takes the next step of the registry.
  void step(change_batch batch) {
    batch.after = keeper.revision();
    batch.revision = batch.after + 1;
    EXPECT_TRUE(keeper.apply(batch, "registry"));
  }
  void step(routes::route_table table) { step({.table = std::move(table)}); }
  void put(std::string id) { step({.changed = {make(std::move(id))}}); }
  void back_in_touch() { keeper.on_registry_reached(now, "registry"); }
  std::size_t usable() { return state.upstreams.available(press, now).size(); }
};

TEST(knowledge_keeper, routes_never_go_back) {
  keeper_world world;
  world.step(table_of(5));
  world.step(table_of(4));
  EXPECT_EQ(world.state.table->version().value(), 5U);
  world.step(table_of(9));
  EXPECT_EQ(world.state.table->version().value(), 9U);
}

TEST(knowledge_keeper, call_keeps_the_table_it_was_admitted_with) {
  keeper_world world;
  world.step(table_of(5));
  const auto admitted = world.state.table;
  world.step(table_of(6));
  EXPECT_EQ(admitted->version().value(), 5U);
}

TEST(knowledge_keeper, removed_upstream_is_gone_within_the_bound_for_leaving_ones) {
  keeper_world world;
  world.put("a");
  world.step({.removed = {base::upstream_id("a")}});
  world.now += milliseconds(1000);
  world.state.upstreams.expire(world.now);
  EXPECT_EQ(world.usable(), 0U);
}

TEST(knowledge_keeper, removed_upstream_gets_no_work_after_its_grace_before_any_upkeep) {
  keeper_world world;
  world.put("a");
  world.step({.removed = {base::upstream_id("a")}});
  world.now += milliseconds(999);
  EXPECT_EQ(world.usable(), 1U);
  world.now += milliseconds(1);
  EXPECT_EQ(world.usable(), 0U);
}

TEST(knowledge_keeper, entries_that_lapsed_in_an_outage_have_time_to_come_back) {
  keeper_world world;
  world.put("a");
  world.keeper.on_registry_lost("down");
  world.now += seconds(5);
  world.back_in_touch();
  world.keeper.adopt({.revision = 9, .table = {}, .upstreams = {}}, "registry");
  world.now += milliseconds(1900);
  world.state.upstreams.expire(world.now);
  EXPECT_EQ(world.usable(), 1U);
  world.now += milliseconds(100);
  world.state.upstreams.expire(world.now);
  EXPECT_EQ(world.usable(), 0U);
}

TEST(knowledge_keeper, older_knowledge_of_a_peer_is_ignored) {
  keeper_world world;
  EXPECT_TRUE(world.keeper.apply({.revision = 7, .changed = {make("a")}}, "registry"));
  world.keeper.adopt({.revision = 7, .table = table_of(3), .upstreams = {}}, "peer");
  EXPECT_EQ(world.usable(), 1U);
  EXPECT_EQ(world.state.table, nullptr);
  world.keeper.adopt({.revision = 8, .table = table_of(3), .upstreams = {make("b")}}, "peer");
  EXPECT_EQ(world.keeper.revision(), 8U);
  EXPECT_EQ(world.usable(), 2U);
}

TEST(knowledge_keeper, host_without_routes_or_upstreams_is_not_ready) {
  keeper_world world;
  EXPECT_FALSE(world.state.ready());
  world.step(table_of(5));
  EXPECT_FALSE(world.state.ready());
  world.put("a");
  EXPECT_TRUE(world.state.ready());
}

TEST(knowledge_keeper, step_told_twice_counts_once) {
  keeper_world world;
  const change_batch step{.revision = 4, .changed = {make("a")}};
  EXPECT_TRUE(world.keeper.apply(step, "one"));
  EXPECT_TRUE(
      world.keeper.apply({.after = 4, .revision = 5, .removed = {base::upstream_id("a")}}, "one"));
  EXPECT_TRUE(world.keeper.apply(step, "other"));
  world.now += seconds(2);
  world.state.upstreams.expire(world.now);
  EXPECT_EQ(world.usable(), 0U);
  EXPECT_EQ(world.keeper.revision(), 5U);
}

TEST(knowledge_keeper, step_with_a_gap_before_it_is_not_taken) {
  keeper_world world;
  EXPECT_TRUE(world.keeper.apply({.revision = 4, .changed = {make("a")}}, "one"));
  EXPECT_FALSE(world.keeper.apply({.after = 6, .revision = 7, .changed = {make("b")}}, "one"));
  EXPECT_EQ(world.usable(), 1U);
  EXPECT_EQ(world.keeper.revision(), 4U);
}

TEST(knowledge_keeper, knowledge_ages_unless_the_registry_is_watched) {
  keeper_world world;
  EXPECT_GE(world.keeper.age(), std::chrono::hours(1));
  world.back_in_touch();
  world.now += seconds(3);
  EXPECT_EQ(world.keeper.age(), seconds(3));
  world.keeper.watching(true);
  EXPECT_EQ(world.keeper.age(), seconds(0));
  world.keeper.watching(false);
  EXPECT_EQ(world.keeper.age(), seconds(3));
}

TEST(knowledge_keeper, loss_and_return_of_the_registry_are_told_once) {
  keeper_world world;
  world.keeper.on_registry_lost("down");
  world.keeper.on_registry_lost("down");
  world.back_in_touch();
  world.back_in_touch();
  EXPECT_EQ(world.lines.size(), 2U);
}

}  // namespace
}  // namespace catkintack::control
