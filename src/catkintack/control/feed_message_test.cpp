// Messages between hosts of this build, and between hosts of this build and older ones.
#include "catkintack/control/feed_message.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

/// @brief feed_changes as builds before the extensions know it.
struct old_feed_changes {
  std::vector<change_batch> batches{};
  std::optional<registry_snapshot> snapshot{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batches, snapshot);
  }
};

/// @brief feed_changes as builds know it that have the extensions without the restrictions.
struct extended_feed_changes {
  feed_changes changes;

  template <class Archive>
  void save(Archive& archive) const {
    archive(changes.batches, changes.snapshot, make_extensions(changes));
  }
  template <class Archive>
  void load(Archive& archive) {
    archive(changes.batches, changes.snapshot);
    feed_extensions extensions;
    archive(extensions);
    apply_extensions(changes, extensions);
  }
};

/// @brief feed_message as builds before the version know it.
struct old_feed_message {
  std::uint32_t hops = 0;
  std::int64_t age_us = 0;
  std::string changes{};
  std::vector<limit_report> limits{};
  std::vector<base::address> alternatives{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(hops, age_us, changes, limits, alternatives);
  }
};

template <class Received, class Sent>
Received transfer(const Sent& sent) {
  std::stringstream bytes;
  cereal::PortableBinaryOutputArchive{bytes}(sent);
  Received received;
  cereal::PortableBinaryInputArchive{bytes}(received);
  return received;
}

routes::route_table make_table(std::uint64_t version, const std::string& key) {
  routes::route_table_builder builder{base::list_version(version)};
  builder.add(routes::service_profile{.service = base::service_id("press"), .warm_up_rate = 3.4});
  routes::route route{.name = routes::route_id("r"),
                      .host = "a.example",
                      .prefix = "/p/",
                      .services = {{base::service_id("press"), 1}},
                      .timeout = std::chrono::seconds(2)};
  builder.add(route);
  route.name = routes::route_id("open");
  route.prefix = "/open/";
  route.is_public = true;
  route.allowed_regions = {base::region_id("east"), base::region_id(key)};
  builder.add(route);
  builder.add(routes::customer_policy{.id = base::customer_id("acme"),
                                      .key_hashes = {key},
                                      .priority_rank = 2,
                                      .rate_per_second = 7.5,
                                      .burst = 30,
                                      .allowed_regions = {base::region_id("east")}});
  if (key == "h1") {
    builder.add(routes::customer_policy{.id = base::customer_id("leaver")});
  }
  return std::move(builder).build();
}

void expect_same(const routes::route_table& one, const routes::route_table& other) {
  EXPECT_EQ(one.version(), other.version());
  const auto by_name = [](const routes::route_table& table) {
    auto result = table.routes();
    std::ranges::sort(result, {}, &routes::route::name);
    return result;
  };
  EXPECT_EQ(by_name(one), by_name(other));
  EXPECT_EQ(one.profiles(), other.profiles());
  EXPECT_EQ(one.customers(), other.customers());
}

/// @brief Returns the value, or a default one that the checks then find different.
template <class Value>
Value require(const std::optional<Value>& optional) {
  EXPECT_TRUE(optional);
  return optional.value_or(Value());
}

/// @brief A message with a table, the difference to the next one, and a snapshot.
feed_changes make_changes() {
  const routes::route_table first = make_table(1, "h1");
  const routes::route_table second = make_table(2, "h2");
  feed_changes result;
  result.batches = {
      {.revision = {.number = 3},
       .table = first,
       .evacuations_begun = {base::failure_domain_id("one")}},
      {.revision = {.number = 4}},
      {.revision = {.number = 5},
       .table_delta = routes::find_difference(first, second),
       .evacuations_ended = {base::failure_domain_id("one"), base::failure_domain_id("two")}}};
  result.snapshot = registry_snapshot{.revision = {.number = 6},
                                      .table = second,
                                      .evacuations = {base::failure_domain_id("three")}};
  return result;
}

// Guards against keys, regions of residence or evacuations that get lost between hosts.
TEST(feed_message, extensions_of_tables_and_differences_are_transferred) {
  const feed_changes sent = make_changes();
  const auto received = transfer<feed_changes>(sent);
  ASSERT_EQ(received.batches.size(), 3U);
  const routes::route_table first = require(received.batches[0].table);
  expect_same(first, require(sent.batches[0].table));
  ASSERT_NE(first.find_customer_by_key("h1"), nullptr);
  EXPECT_EQ(received.batches[0].evacuations_begun, sent.batches[0].evacuations_begun);
  EXPECT_TRUE(received.batches[1].empty());
  EXPECT_EQ(received.batches[2].evacuations_ended, sent.batches[2].evacuations_ended);
  const registry_snapshot sent_snapshot = require(sent.snapshot);
  const auto applied = routes::apply_difference(first, require(received.batches[2].table_delta));
  expect_same(require(applied), require(sent_snapshot.table));
  const registry_snapshot snapshot = require(received.snapshot);
  expect_same(require(snapshot.table), require(sent_snapshot.table));
  EXPECT_EQ(snapshot.evacuations, sent_snapshot.evacuations);
}

/// @brief A closed and an open route of one name, each of another host.
routes::route_table make_table_with_one_name(std::uint64_t version, bool has_open_route) {
  routes::route_table_builder builder{base::list_version(version)};
  builder.add(routes::service_profile{.service = base::service_id("press")});
  builder.add(routes::customer_policy{.id = base::customer_id("acme"), .key_hashes = {"h"}});
  routes::route route{.name = routes::route_id("r"),
                      .host = "a.example",
                      .prefix = "/p/",
                      .services = {{base::service_id("press"), 1}},
                      .timeout = std::chrono::seconds(2)};
  route.allowed_regions = {base::region_id("east")};
  builder.add(route);
  if (has_open_route) {
    route.host = "b.example";
    route.is_public = true;
    route.allowed_regions.clear();
    builder.add(route);
  }
  return std::move(builder).build();
}

void expect_closed_and_open(const routes::route_table& table, bool open_is_public) {
  const routes::route* const closed = table.match("a.example", "/p/x");
  const routes::route* const open = table.match("b.example", "/p/x");
  ASSERT_NE(closed, nullptr);
  ASSERT_NE(open, nullptr);
  EXPECT_FALSE(closed->is_public);
  EXPECT_EQ(closed->allowed_regions, (std::vector{base::region_id("east")}));
  EXPECT_EQ(open->is_public, open_is_public);
}

feed_changes make_changes_with_one_name() {
  feed_changes sent;
  sent.batches = {{.revision = {.number = 3}, .table = make_table_with_one_name(1, true)}};
  sent.snapshot =
      registry_snapshot{.revision = {.number = 6}, .table = make_table_with_one_name(2, true)};
  return sent;
}

// Guards against a public route that makes a route of the same name on another host public.
TEST(feed_message, restrictions_belong_to_one_route_of_several_with_the_same_name) {
  const auto received = transfer<feed_changes>(make_changes_with_one_name());
  expect_closed_and_open(require(received.batches.at(0).table), true);
  expect_closed_and_open(require(require(received.snapshot).table), true);
  EXPECT_TRUE(require(require(received.snapshot).table)
                  .match("b.example", "/p/x")
                  ->allowed_regions.empty());
}

TEST(feed_message, table_that_repeats_a_name_has_no_difference) {
  EXPECT_FALSE(routes::find_difference(make_table_with_one_name(1, false),
                                       make_table_with_one_name(2, true)));
}

// Guards against the same between two builds: where it is not clear which route is public, none is.
TEST(feed_message, older_build_opens_no_route_whose_name_is_repeated) {
  const auto older = transfer<extended_feed_changes>(make_changes_with_one_name());
  expect_closed_and_open(require(older.changes.batches.at(0).table), false);
  feed_changes sent = make_changes_with_one_name();
  feed_extensions extensions = make_extensions(sent);
  extensions.batches.at(0).table.restrictions.reset();
  const auto by_name = [](bool is_public, std::vector<base::region_id> regions) {
    return routes::route_extension{routes::route_id("r"), is_public, std::move(regions)};
  };
  extensions.batches.at(0).table.routes = {by_name(false, {base::region_id("east")}),
                                           by_name(true, {})};
  sent.batches.at(0).table = make_table_with_one_name(1, true);
  apply_extensions(sent, extensions);
  expect_closed_and_open(require(sent.batches.at(0).table), false);
}

TEST(feed_message, restriction_of_a_route_that_is_not_there_is_malformed) {
  const routes::table_extension extension{.restrictions = {{{.position = 2, .is_public = true}}}};
  routes::route_table table = make_table_with_one_name(1, true);
  EXPECT_THROW(routes::extend(table, extension), std::out_of_range);
}

// Guards against hosts of two builds that lose their feed while hosts are replaced one by one.
TEST(feed_message, message_of_an_older_build_is_decoded) {
  const feed_changes changes = make_changes();
  const auto received = transfer<feed_changes>(
      old_feed_changes{.batches = changes.batches, .snapshot = changes.snapshot});
  ASSERT_EQ(received.batches.size(), 3U);
  EXPECT_EQ(received.batches[2].revision.number, 5U);
  const registry_snapshot snapshot = require(received.snapshot);
  const routes::route_table table = require(snapshot.table);
  EXPECT_EQ(table.version().value(), 2U);
  EXPECT_FALSE(table.has_customers());
  const routes::route* const route = table.match("a.example", "/open/x");
  ASSERT_NE(route, nullptr);
  EXPECT_FALSE(route->is_public);
  EXPECT_TRUE(snapshot.evacuations.empty());
  const auto message =
      transfer<feed_message>(old_feed_message{.hops = 2, .age_us = 7, .changes = "bytes"});
  EXPECT_EQ(message.changes, "bytes");
  EXPECT_EQ(message.protocol_version, 0U);
}

TEST(feed_message, older_build_decodes_a_message) {
  const auto received = transfer<old_feed_changes>(make_changes());
  ASSERT_EQ(received.batches.size(), 3U);
  EXPECT_EQ(received.batches[2].revision.number, 5U);
  const registry_snapshot snapshot = require(received.snapshot);
  EXPECT_NE(require(snapshot.table).match("a.example", "/p/x"), nullptr);
  const auto message = transfer<old_feed_message>(feed_message{.hops = 2, .changes = "bytes"});
  EXPECT_EQ(message.hops, 2U);
  EXPECT_EQ(message.changes, "bytes");
  EXPECT_EQ(transfer<feed_message>(feed_message{}).protocol_version, feed_protocol_version);
}

}  // namespace
}  // namespace catkintack::control
