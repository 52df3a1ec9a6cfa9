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

route_table with_customers(std::uint64_t version, const std::vector<customer_policy>& customers) {
  route_table_builder builder{base::list_version(version)};
  for (const customer_policy& one : customers) {
    builder.add(one);
  }
  return std::move(builder).build();
}

std::vector<customer_policy> sorted_customers(const route_table& table) {
  std::vector<customer_policy> result = table.customers();
  std::ranges::sort(result, {}, &customer_policy::id);
  return result;
}

// Guards against changes that send all of 10,000 customers to each host.
TEST(route_table_delta, one_changed_customer_costs_one_customer) {
  std::vector<customer_policy> customers;
  for (int i = 0; i < 10000; ++i) {
    const std::string text = std::to_string(i);
    customers.push_back({.id = base::customer_id("c" + text), .key_hashes = {"k" + text}});
  }
  const route_table before = with_customers(1, customers);
  customers[5000].key_hashes = {"new"};
  customers.pop_back();
  const route_table after = with_customers(2, customers);
  const route_table_delta delta = difference(before, after);
  EXPECT_EQ(delta.changed_customers, std::vector{customers[5000]});
  EXPECT_EQ(delta.removed_customers, std::vector{base::customer_id("c9999")});
  const route_table applied = apply_difference(before, delta).value_or(route_table());
  EXPECT_EQ(sorted_customers(applied), sorted_customers(after));
  EXPECT_EQ(applied.find_customer_by_key("k5000"), nullptr);
  EXPECT_EQ(applied.find_customer_by_key("k9999"), nullptr);
  EXPECT_NE(applied.find_customer_by_key("new"), nullptr);
}

// Guards against a key that still names the customer from which it was taken.
TEST(route_table_delta, key_moves_from_one_customer_to_another) {
  const customer_policy a{.id = base::customer_id("a"), .key_hashes = {"k1", "k2"}};
  const customer_policy b{.id = base::customer_id("b")};
  for (const bool forward : {true, false}) {
    route_table before = with_customers(1, {a, b});
    route_table after =
        with_customers(2, {{.id = a.id, .key_hashes = {"k2"}}, {.id = b.id, .key_hashes = {"k1"}}});
    const base::customer_id owner = forward ? b.id : a.id;
    if (!forward) {
      std::swap(before, after);
    }
    const route_table applied =
        apply_difference(before, difference(before, after)).value_or(route_table());
    ASSERT_NE(applied.find_customer_by_key("k1"), nullptr);
    EXPECT_EQ(applied.find_customer_by_key("k1")->id, owner);
  }
}

RC_GTEST_PROP(route_table_delta, applying_it_gives_the_later_customers, ()) {
  const auto draw = [] {
    std::vector<customer_policy> result;
    for (int number = 0; number < 8; ++number) {
      if (*rc::gen::arbitrary<bool>()) {
        const std::string text = std::to_string(number);
        result.push_back({.id = base::customer_id(text),
                          .key_hashes = {text + (*rc::gen::arbitrary<bool>() ? "x" : "y")},
                          .burst = *rc::gen::inRange(0U, 2U)});
      }
    }
    return result;
  };
  const route_table before = with_customers(1, draw());
  const route_table after = with_customers(2, draw());
  const auto applied = apply_difference(before, difference(before, after));
  RC_ASSERT(applied.has_value());
  RC_ASSERT(sorted_customers(applied.value_or(route_table())) == sorted_customers(after));
}

}  // namespace
}  // namespace catkintack::routes
