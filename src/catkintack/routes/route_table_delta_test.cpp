#include "catkintack/routes/route_table_delta.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::routes {
namespace {

route make_route(int number, std::uint32_t attempts = 1) {
  return {.name = route_id("r" + std::to_string(number)),
          .host = "h" + std::to_string(number % 3),
          .prefix = "/p" + std::to_string(number) + "/",
          .services = {{base::service_id("press"), 1}},
          .timeout = std::chrono::seconds(2),
          .max_attempts = attempts};
}

route_table make_table(std::uint64_t version, const std::vector<route>& routes) {
  route_table_builder builder{base::list_version(version)};
  builder.limits({.max_body_bytes = 1000 + version});
  builder.add(service_profile{.service = base::service_id("press"),
                              .max_upstream_connections = static_cast<std::uint32_t>(version)});
  for (const route& one : routes) {
    builder.add(one);
  }
  return std::move(builder).build();
}

std::vector<route> sorted_routes(const route_table& table) {
  std::vector<route> result = table.routes();
  std::ranges::sort(result, {}, &route::name);
  return result;
}

/// @brief The difference of two tables that have one.
route_table_delta difference(const route_table& before, const route_table& after) {
  const auto result = find_difference(before, after);
  EXPECT_TRUE(result);
  return result.value_or(route_table_delta());
}

TEST(route_table_delta, one_added_route_costs_one_route) {
  constexpr int count = 1400;
  std::vector<route> routes;
  routes.reserve(count + 1);
  for (int i = 0; i < count; ++i) {
    routes.push_back(make_route(i));
  }
  const route_table before = make_table(1, routes);
  routes.push_back(make_route(count));
  const route_table_delta delta = difference(before, make_table(2, routes));
  EXPECT_EQ(delta.changed, std::vector{make_route(count)});
  EXPECT_TRUE(delta.removed.empty());
}

TEST(route_table_delta, applies_only_to_its_base_version) {
  const route_table_delta delta = difference(make_table(1, {}), make_table(3, {make_route(1)}));
  EXPECT_FALSE(apply_difference(make_table(2, {}), delta));
}

TEST(route_table_delta, is_refused_where_the_order_of_routes_matters) {
  route shadowed = make_route(1);
  shadowed.name = route_id("other");
  EXPECT_FALSE(find_difference(make_table(1, {}), make_table(2, {make_route(1), shadowed})));
  EXPECT_FALSE(find_difference(make_table(1, {make_route(1), make_route(1)}), make_table(2, {})));
}

RC_GTEST_PROP(route_table_delta, applying_it_gives_the_later_table, ()) {
  const auto draw_routes = [] {
    std::vector<route> result;
    for (int number = 0; number < 12; ++number) {
      if (*rc::gen::arbitrary<bool>()) {
        result.push_back(make_route(number, *rc::gen::inRange(1U, 3U)));
      }
    }
    return result;
  };
  const route_table before = make_table(1, draw_routes());
  const route_table after = make_table(2, draw_routes());
  const auto maybe_applied = apply_difference(before, difference(before, after));
  RC_ASSERT(maybe_applied.has_value());
  const route_table applied = maybe_applied.value_or(route_table());
  RC_ASSERT(applied.version() == after.version());
  RC_ASSERT(applied.limits() == after.limits());
  RC_ASSERT(applied.profiles() == after.profiles());
  RC_ASSERT(sorted_routes(applied) == sorted_routes(after));
}

}  // namespace
}  // namespace catkintack::routes
