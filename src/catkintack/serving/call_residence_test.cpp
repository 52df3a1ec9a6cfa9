// Calls that only some regions may serve.
#include "catkintack/serving/call_residence.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::scripted_upstream;
using tests::serving_fixture;
using tests::valid_response;

scripted_reply greet(const received_request& request) {
  return {.bytes = valid_response(request, "hello")};
}

scripted_reply refuse_call(const received_request&) {
  return {.bytes =
              "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
}

std::vector<base::region_id> regions(std::initializer_list<const char*> names) {
  std::vector<base::region_id> result;
  for (const char* const name : names) {
    result.emplace_back(name);
  }
  return result;
}

/// @brief Replaces the route table with one route that some regions may serve.
void restrict_route(serving_fixture& world, std::initializer_list<const char*> allowed) {
  routes::route_table_builder builder{base::list_version(2)};
  builder.add(routes::service_profile{.service = base::service_id("press")});
  builder.add(routes::route{.name = routes::route_id("r"),
                            .host = "a.example",
                            .prefix = "/p/",
                            .services = {{base::service_id("press"), 1}},
                            .delivery = delivery_kind::at_most_once,
                            .timeout = std::chrono::seconds(2),
                            .latency_objective = std::chrono::seconds(1),
                            .max_attempts = 4,
                            .allowed_regions = regions(allowed)});
  world.state.table = std::make_shared<const routes::route_table>(std::move(builder).build());
}

/// @brief Lists an upstream in a region.
void move_to(serving_fixture& world, const scripted_upstream& upstream, const char* region) {
  directory::endpoint entry = world.state.upstreams.find(base::upstream_id(upstream.id))->listed;
  entry.record.region = base::region_id(region);
  world.state.upstreams.upsert(entry, world.state.clock());
}

scripted_upstream& add_in(serving_fixture& world,
                          const char* region,
                          const char* name,
                          scripted_upstream::script answer = greet) {
  scripted_upstream& upstream = world.add(name, std::move(answer));
  move_to(world, upstream, region);
  return upstream;
}

std::string call_once(serving_fixture& world, const std::string& id) {
  scripted_caller caller(world);
  caller.get(id);
  EXPECT_TRUE(caller.wait_for("\r\n\r\n"));
  return caller.received_bytes;
}

bool has_logged(const serving_fixture& world, const std::string& event) {
  return std::ranges::any_of(world.log_lines, [&](const std::string& line) {
    return line.find("event=" + event) != std::string::npos;
  });
}

// The host of serving_fixture is in the region "east".

// Guards against calls from a region that is not allowed being refused, or limited by the byte
// budget for other traffic between regions.
TEST(residence, caller_in_another_region_is_served_by_an_allowed_one) {
  serving_fixture world([](serving_options& options) {
    options.remote_bytes_per_second = 0;
    options.remote_bytes_burst = 1000;
  });
  restrict_route(world, {"west"});
  auto& own = add_in(world, "east", "own");
  std::vector<scripted_upstream*> allowed;
  for (const char* const name : {"a", "b", "c"}) {
    allowed.push_back(&add_in(world, "west", name));
  }
  constexpr std::size_t calls = 10;
  for (std::size_t i = 0; i < calls; ++i) {
    const std::string answer = call_once(world, "call-" + std::to_string(i));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  }
  std::size_t runs = 0;
  int probes = 0;
  for (const scripted_upstream* const one : allowed) {
    runs += one->received.size();
    probes += one->probes;
  }
  EXPECT_EQ(runs, calls);
  // Two probes in one round; the subset of a host holds idle upstreams.
  EXPECT_LE(probes, 2 * static_cast<int>(calls));
  EXPECT_EQ(own.received.size(), 0U);
  EXPECT_EQ(own.probes, 0);
  EXPECT_TRUE(world.state.remote_bytes.can_spend(1000, world.state.clock()));
}

// Guards against a busy or failing allowed upstream that makes a resend leave the allowed regions.
TEST(residence, resends_stay_in_the_allowed_regions) {
  serving_fixture world;
  restrict_route(world, {"west"});
  world.fill_repeat_budget();
  // Each refusal leaves budget for a further attempt; the third one finds no upstream left.
  const auto refuse_each = [&world](const received_request& request) {
    world.fill_repeat_budget();
    return refuse_call(request);
  };
  auto& own = add_in(world, "east", "own");
  auto& north = add_in(world, "north", "north");
  auto& first = add_in(world, "west", "first", refuse_each);
  auto& second = add_in(world, "west", "second", refuse_each);
  const std::string answer = call_once(world, "one");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_EQ(first.received.size() + second.received.size(), 2U);
  EXPECT_EQ(own.received.size() + north.received.size(), 0U);
  EXPECT_EQ(own.probes + north.probes, 0);
}

// Guards against the search of the other regions by a call that its own region may serve.
TEST(residence, wider_search_stays_in_the_allowed_regions) {
  serving_fixture world;
  restrict_route(world, {"east", "west"});
  world.fill_repeat_budget();
  auto& own = add_in(world, "east", "own", refuse_call);
  auto& north = add_in(world, "north", "north");
  auto& west = add_in(world, "west", "west");
  const std::string answer = call_once(world, "one");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_EQ(own.received.size(), 1U);
  EXPECT_EQ(west.received.size(), 1U);
  EXPECT_EQ(north.received.size(), 0U);
  EXPECT_EQ(north.probes, 0);
}

TEST(residence, call_is_refused_at_once_if_no_upstream_is_allowed) {
  serving_fixture world;
  restrict_route(world, {"west"});
  auto& own = add_in(world, "east", "own");
  const std::string answer = call_once(world, "one");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find("not run: no upstream is known in a region"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After: 1."), std::string::npos) << answer;
  EXPECT_EQ(own.probes, 0);
  EXPECT_TRUE(has_logged(world, "no_allowed_upstream"));
}

// Guards against an upstream that pauses in an excluded region and makes calls wait for it.
TEST(residence, busy_allowed_upstream_refuses_with_retry_after) {
  serving_fixture world;
  restrict_route(world, {"west"});
  auto& own = add_in(world, "east", "own");
  auto& west = add_in(world, "west", "west");
  west.load = "2,90,2,100";
  const std::string answer = call_once(world, "one");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_EQ(own.received.size() + west.received.size(), 0U);
}

TEST(residence, header_of_a_caller_is_dropped) {
  serving_fixture world;
  restrict_route(world, {"west"});
  auto& own = add_in(world, "east", "own");
  auto& west = add_in(world, "west", "west");
  scripted_caller caller(world);
  caller.send(
      "GET /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n"
      "catkintack-relay-regions: east\r\n\r\n");
  ASSERT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
  EXPECT_EQ(own.received.size(), 0U);
  ASSERT_EQ(west.received.size(), 1U);
  EXPECT_EQ(west.received[0].count(std::string(relay_regions_header)), 0U);
}

TEST(residence, route_and_customer_are_intersected) {
  routes::route route;
  route.allowed_regions = regions({"east", "west"});
  call admitted;
  admitted.route = &route;
  restrict_to_regions(admitted, nullptr, {});
  EXPECT_EQ(admitted.allowed_regions, regions({"east", "west"}));
  routes::customer_policy west;
  west.allowed_regions = regions({"north", "west"});
  restrict_to_regions(admitted, &west, {});
  EXPECT_EQ(admitted.allowed_regions, regions({"west"}));
  EXPECT_FALSE(admitted.allowed_nowhere);
  restrict_to_regions(admitted, &west, choice::residence::of(regions({"east"})));
  EXPECT_TRUE(admitted.allowed_nowhere);
  const routes::customer_policy anywhere;
  restrict_to_regions(admitted, &anywhere, {});
  EXPECT_EQ(admitted.allowed_regions, regions({"east", "west"}));
}

TEST(residence, call_without_a_common_region_is_refused) {
  serving_fixture world;
  call admitted;
  admitted.allowed_nowhere = true;
  const local_response refusal =
      refuse_by_residence(world.state, admitted).value_or(local_response{.status = 0});
  EXPECT_EQ(refusal.status, 503U);
  EXPECT_NE(refusal.body.find("not run: "), std::string::npos);
}

TEST(residence, header_of_a_relayed_call_is_read_as_it_was_written) {
  const auto round_trip = [](const choice::residence& sent) {
    http::fields headers;
    headers.set(std::string(relay_regions_header), format_relay_regions(sent).value());
    return read_relay_regions(headers);
  };
  const auto two = choice::residence::of(regions({"east", "west-2"}));
  EXPECT_EQ(round_trip(two), two);
  EXPECT_TRUE(round_trip(choice::residence::nowhere()).allows_nothing());
  EXPECT_FALSE(read_relay_regions({}).restricted());
  http::fields repeated;
  repeated.insert("Catkintack-Relay-Regions", " east ,,west\t");
  repeated.insert("Catkintack-Relay-Regions", "west,north");
  EXPECT_EQ(read_relay_regions(repeated), choice::residence::of(regions({"west"})));
}

// Guards against names that another host would read as other regions or headers.
TEST(residence, regions_that_the_header_cannot_hold_are_not_sent) {
  for (const char* const name : {"a,b", "a b", "a\r\nX: 1", "\xc3\xa9"}) {
    EXPECT_FALSE(format_relay_regions(choice::residence::of(regions({name, "east"})))) << name;
  }
}

/// @brief A host in the region "east" without links to upstreams, and one in "west" with them.
struct two_hosts {
  two_hosts() {
    cut_off.state.isolation.on_check(0, 4, cut_off.state.clock());
    offer(1);
  }

  void offer(std::uint32_t version) {
    cut_off.state.relays.on_offer(
        other.state.options.relays,
        {.available = true, .region = other.state.options.region, .protocol_version = version},
        cut_off.state.clock());
  }
  std::string call_once(const std::string& extra_headers = "") {
    scripted_caller caller(cut_off);
    caller.send("GET /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n" +
                extra_headers + "\r\n");
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (caller.received_bytes.find("\r\n\r\n") == std::string::npos &&
           std::chrono::steady_clock::now() < give_up_at) {
      cut_off.io.run_one_for(std::chrono::milliseconds(1));
      other.io.run_one_for(std::chrono::milliseconds(1));
    }
    return caller.received_bytes;
  }

  serving_fixture cut_off;
  serving_fixture other{[](serving_options& options) {
    options.region = base::region_id("west");
    options.relays = tests::free_address();
  }};
};

// Guards against a relaying host whose restriction is lost because the other host has an older
// table, or because the caller names the internal header as one of its connection's.
TEST(residence, relayed_call_keeps_the_regions_of_the_first_host) {
  two_hosts hosts;
  restrict_route(hosts.cut_off, {"west"});
  restrict_route(hosts.other, {});
  auto& west = add_in(hosts.other, "west", "west");
  auto& north = add_in(hosts.other, "north", "north");
  west.load = "2,90,2,100";
  const std::string refused = hosts.call_once("Connection: Catkintack-Relay-Regions\r\n");
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
  EXPECT_EQ(west.received.size() + north.received.size(), 0U);
  EXPECT_EQ(north.probes, 0);
  west.load = "0,0,2,100";
  hosts.offer(1);
  const std::string served = hosts.call_once();
  EXPECT_TRUE(served.starts_with("HTTP/1.1 200")) << served;
  ASSERT_EQ(west.received.size(), 1U);
  EXPECT_EQ(west.received[0].count(std::string(relay_regions_header)), 0U);
}

// Guards against a sender with an older table, or of an older build, which states no regions.
TEST(residence, relayed_call_is_not_run_by_a_host_that_its_own_table_excludes) {
  two_hosts hosts;
  restrict_route(hosts.cut_off, {});
  restrict_route(hosts.other, {"east"});
  auto& west = add_in(hosts.other, "west", "west");
  auto& east = add_in(hosts.other, "east", "east");
  const std::string answer = hosts.call_once();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_EQ(west.received.size() + east.received.size(), 0U);
}

TEST(residence, restricted_call_is_not_relayed_to_an_older_build_or_another_region) {
  two_hosts hosts;
  restrict_route(hosts.cut_off, {"west"});
  restrict_route(hosts.other, {});
  auto& west = add_in(hosts.other, "west", "west");
  hosts.offer(0);
  EXPECT_TRUE(hosts.call_once().starts_with("HTTP/1.1 503"));
  hosts.offer(1);
  restrict_route(hosts.cut_off, {"east"});
  const std::string answer = hosts.call_once();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_TRUE(has_logged(hosts.cut_off, "no_allowed_relay_host"));
  EXPECT_EQ(west.received.size(), 0U);
  EXPECT_EQ(hosts.other.state.open_calls, 0U);
  EXPECT_FALSE(has_logged(hosts.other, "call_ended"));
}

}  // namespace
}  // namespace catkintack::serving
