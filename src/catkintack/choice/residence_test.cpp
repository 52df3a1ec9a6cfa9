#include "catkintack/choice/residence.hpp"

#include <gtest/gtest.h>

#include <initializer_list>

#include "catkintack/choice/search_area.hpp"

namespace catkintack::choice {
namespace {

residence regions(std::initializer_list<const char*> names) {
  std::vector<base::region_id> listed;
  for (const char* const name : names) {
    listed.emplace_back(name);
  }
  return residence::of(std::move(listed));
}

bool allows(const residence& allowed, const char* region) {
  return allowed.allows(base::region_id(region));
}

TEST(residence, empty_list_allows_all_regions) {
  const residence all = regions({});
  EXPECT_FALSE(all.restricted());
  EXPECT_TRUE(allows(all, "east"));
  EXPECT_TRUE(allows(all, ""));
}

TEST(residence, list_allows_its_regions_in_any_order) {
  const residence some = regions({"west", "east", "west"});
  EXPECT_TRUE(some.restricted());
  EXPECT_TRUE(allows(some, "east"));
  EXPECT_TRUE(allows(some, "west"));
  EXPECT_FALSE(allows(some, "north"));
  EXPECT_EQ(some, regions({"east", "west"}));
}

TEST(residence, unknown_region_is_not_allowed) {
  EXPECT_FALSE(allows(regions({"", "east"}), ""));
  EXPECT_FALSE(allows(regions({"east"}), ""));
}

// Guards against an empty intersection that is taken for a missing list, which allows all regions.
TEST(residence, lists_without_a_common_region_allow_nothing) {
  const residence none = regions({"east"}).intersect(regions({"west"}));
  EXPECT_TRUE(none.allows_nothing());
  EXPECT_FALSE(allows(none, "east"));
  EXPECT_FALSE(allows(none, "west"));
  EXPECT_TRUE(none.intersect(regions({})).allows_nothing());
  EXPECT_TRUE(regions({}).intersect(none).allows_nothing());
  EXPECT_FALSE(regions({}).allows_nothing());
}

TEST(residence, intersection_keeps_common_regions) {
  EXPECT_EQ(regions({"a", "b", "c"}).intersect(regions({"d", "c", "b"})), regions({"b", "c"}));
  EXPECT_EQ(regions({"a"}).intersect(regions({})), regions({"a"}));
  EXPECT_EQ(regions({}).intersect(regions({"a"})), regions({"a"}));
  EXPECT_EQ(regions({}).intersect(regions({})), regions({}));
}

// Guards against a host that holds calls for its own region, which must not serve them.
TEST(search_area, allowed_regions_replace_an_own_region_without_allowed_upstreams) {
  const base::region_id east("east");
  const base::region_id west("west");
  const base::region_id north("north");
  const search_area outside(east, regions({"west"}), false);
  EXPECT_TRUE(outside.own_region_replaced());
  EXPECT_EQ(outside.place_of(east), search_place::excluded);
  EXPECT_EQ(outside.place_of(west), search_place::near);
  const search_area inside(east, regions({"east", "west"}), true);
  EXPECT_FALSE(inside.own_region_replaced());
  EXPECT_EQ(inside.place_of(east), search_place::near);
  EXPECT_EQ(inside.place_of(west), search_place::far);
  EXPECT_EQ(inside.place_of(north), search_place::excluded);
  EXPECT_TRUE(search_area(east, regions({"east", "west"}), false).own_region_replaced());
  // A call without a restriction is searched as before.
  const search_area unrestricted(east, {}, false);
  EXPECT_FALSE(unrestricted.own_region_replaced());
  EXPECT_EQ(unrestricted.place_of(east), search_place::near);
  EXPECT_EQ(unrestricted.place_of(west), search_place::far);
}

}  // namespace
}  // namespace catkintack::choice
