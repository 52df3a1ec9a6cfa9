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

  std::size_t usable() { return state.upstreams.usable(press).size(); }
};

TEST(knowledge_keeper, routes_never_go_back) {
  keeper_world world;
  world.keeper.adopt(table_of(5), "registry");
  world.keeper.adopt(table_of(4), "peer");
  EXPECT_EQ(world.state.table->version().value(), 5U);
  world.keeper.adopt(table_of(9), "peer");
  EXPECT_EQ(world.state.table->version().value(), 9U);
}

TEST(knowledge_keeper, call_keeps_the_table_it_was_admitted_with) {
  keeper_world world;
  world.keeper.adopt(table_of(5), "registry");
  const auto admitted = world.state.table;
  world.keeper.adopt(table_of(6), "registry");
  EXPECT_EQ(admitted->version().value(), 5U);
}

TEST(knowledge_keeper, removed_upstream_is_gone_within_the_bound_for_leaving_ones) {
  keeper_world world;
  world.keeper.put(make("a"), "registry");
  world.keeper.remove(base::upstream_id("a"), "registry");
  world.now += milliseconds(1000);
  world.state.upstreams.expire(world.now);
  EXPECT_EQ(world.usable(), 0U);
}

TEST(knowledge_keeper, entries_that_lapsed_in_an_outage_have_time_to_come_back) {
  keeper_world world;
  world.keeper.put(make("a"), "registry");
  world.keeper.on_registry_lost("down");
  world.now += seconds(5);
  world.keeper.on_registry_reached();
  world.keeper.replace_all({}, "registry");
  world.now += milliseconds(1900);
  world.state.upstreams.expire(world.now);
  EXPECT_EQ(world.usable(), 1U);
  world.now += milliseconds(100);
  world.state.upstreams.expire(world.now);
  EXPECT_EQ(world.usable(), 0U);
}

TEST(knowledge_keeper, older_knowledge_of_a_peer_is_ignored) {
  keeper_world world;
  world.keeper.put(make("a"), "registry");
  world.keeper.advance(7);
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
  world.keeper.adopt(table_of(5), "registry");
  EXPECT_FALSE(world.state.ready());
  world.keeper.put(make("a"), "registry");
  EXPECT_TRUE(world.state.ready());
}

TEST(knowledge_keeper, loss_and_return_of_the_registry_are_told_once) {
  keeper_world world;
  world.keeper.on_registry_lost("down");
  world.keeper.on_registry_lost("down");
  world.keeper.on_registry_reached();
  world.keeper.on_registry_reached();
  EXPECT_EQ(world.lines.size(), 2U);
}

}  // namespace
}  // namespace catkintack::control
