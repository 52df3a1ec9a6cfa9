#include "catkintack/routes/route_table.hpp"

#include <gtest/gtest.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <limits>
#include <sstream>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::routes {
namespace {

route make_route(std::string name, std::string host, std::string prefix) {
  return {.name = route_id(std::move(name)),
          .host = std::move(host),
          .prefix = std::move(prefix),
          .services = {{base::service_id("press"), 1}},
          .delivery = delivery_kind::repeatable,
          .timeout = std::chrono::seconds(2),
          .latency_objective = std::chrono::milliseconds(500),
          .max_attempts = 2,
          .priority_rank = 1};
}

route_table_builder make_builder(std::vector<route> routes) {
  route_table_builder builder(base::list_version(7));
  builder.add(service_profile{.service = base::service_id("press"), .health_path = "/ok"});
  for (route& one : routes) {
    builder.add(std::move(one));
  }
  return builder;
}

TEST(route_table, longest_prefix_of_the_host_wins) {
  const route_table table = make_builder({make_route("short", "a.example", "/x/"),
                                          make_route("long", "a.example", "/x/y/"),
                                          make_route("other", "b.example", "/x/y/z/")})
                                .build();
  EXPECT_EQ(table.match("a.example", "/x/y/z")->name.value(), "long");
  EXPECT_EQ(table.match("a.example", "/x/z")->name.value(), "short");
  EXPECT_EQ(table.match("a.example", "/x"), nullptr);
  EXPECT_EQ(table.match("c.example", "/x/y/"), nullptr);
}

TEST(route_table, host_match_ignores_port_and_case) {
  const route_table table = make_builder({make_route("r", "a.example", "/x/")}).build();
  EXPECT_NE(table.match("A.Example:8080", "/x/1"), nullptr);
}

TEST(route_table, query_and_authority_are_not_part_of_the_path) {
  const route_table table = make_builder({make_route("r", "a.example", "/x/")}).build();
  EXPECT_NE(table.match("a.example", "http://a.example/x/1?y=/z/"), nullptr);
  EXPECT_EQ(table.match("a.example", "/q?/x/"), nullptr);
  EXPECT_EQ(table.match("a.example", "http://a.example"), nullptr);
  EXPECT_EQ(table.match("a.example", "*"), nullptr);
}

TEST(route_table, round_trips_through_serialization) {
  const route_table sent = make_builder({make_route("r", "a.example", "/x/")}).build();
  std::stringstream bytes;
  cereal::PortableBinaryOutputArchive{bytes}(sent);
  route_table received;
  cereal::PortableBinaryInputArchive{bytes}(received);
  EXPECT_EQ(received.version(), sent.version());
  EXPECT_EQ(received.routes(), sent.routes());
  EXPECT_EQ(received.profile(base::service_id("press")).health_path, "/ok");
  EXPECT_NE(received.match("a.example", "/x/1"), nullptr);
}

TEST(route_table, service_without_a_profile_has_the_default_one) {
  EXPECT_EQ(route_table().profile(base::service_id("none")).health_path, "/health");
}

TEST(route_table_builder, reports_the_first_error) {
  EXPECT_EQ(make_builder({make_route("r", "a", "/x/")}).find_error(), std::nullopt);
  route one = make_route("r", "a", "/x");
  EXPECT_EQ(make_builder({one}).find_error(),
            "route \"r\" has a prefix that does not begin and end with a slash");
  one = make_route("r", "a", "/x/");
  one.services = {{base::service_id("unknown"), 1}};
  EXPECT_EQ(make_builder({one}).find_error(), "route \"r\" names the unknown service \"unknown\"");
  one.services = {{base::service_id("press"), 0}};
  EXPECT_EQ(make_builder({one}).find_error(), "route \"r\" has no part with a weight above 0");
  one = make_route("r", "a", "/x/");
  one.timeout = {};
  EXPECT_EQ(make_builder({one}).find_error(), "route \"r\" has no timeout");
  one = make_route("r", "a", "/x/");
  one.max_attempts = 0;
  EXPECT_EQ(make_builder({one}).find_error(), "route \"r\" allows no attempt");
  EXPECT_EQ(route_table_builder(base::list_version()).find_error(), "the version is 0");
}

std::optional<std::string> error_with(const std::vector<customer_policy>& customers) {
  route_table_builder builder = make_builder({});
  for (const customer_policy& one : customers) {
    builder.add(one);
  }
  return builder.find_error();
}

// Guards against a call that runs as the wrong one of two customers with the same key.
TEST(route_table_builder, reports_invalid_customers) {
  const customer_policy acme{.id = base::customer_id("acme"), .key_hashes = {"h1", "h2", "h1"}};
  const customer_policy other{.id = base::customer_id("other"), .key_hashes = {"h3"}};
  EXPECT_EQ(error_with({acme, other, {.id = base::customer_id("keyless")}}), std::nullopt);
  customer_policy changed = other;
  changed.key_hashes = {"h3", "h2"};
  EXPECT_EQ(error_with({acme, changed}), "customer \"other\" has a key of customer \"acme\"");
  EXPECT_EQ(error_with({acme, acme}), "customer \"acme\" is listed twice");
  EXPECT_EQ(error_with({{.id = base::customer_id()}}), "a customer has no name");
  for (const double rate : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
    changed = acme;
    changed.rate_per_second = rate;
    EXPECT_EQ(error_with({changed}),
              "customer \"acme\" has a rate that is not a number of 0 or more");
  }
  EXPECT_NE(make_builder({})
                .add(service_profile{.service = base::service_id("cold"), .warm_up_rate = -1})
                .find_error(),
            std::nullopt);
}

TEST(route_table, finds_customers_by_id_and_by_each_key) {
  const route_table table =
      std::move(make_builder({}).add(
                    customer_policy{.id = base::customer_id("acme"), .key_hashes = {"h1", "h2"}}))
          .build();
  EXPECT_TRUE(table.has_customers());
  for (const char* hash : {"h1", "h2"}) {
    EXPECT_EQ(table.find_customer_by_key(hash), table.find_customer(base::customer_id("acme")));
  }
  EXPECT_EQ(table.find_customer_by_key("h3"), nullptr);
  EXPECT_EQ(table.find_customer(base::customer_id("h1")), nullptr);
  EXPECT_FALSE(route_table().has_customers());
}

}  // namespace
}  // namespace catkintack::routes
