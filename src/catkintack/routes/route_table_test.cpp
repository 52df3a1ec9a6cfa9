#include "catkintack/routes/route_table.hpp"

#include <gtest/gtest.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
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

}  // namespace
}  // namespace catkintack::routes
