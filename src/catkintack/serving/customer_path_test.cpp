// Customers' keys and names on their way through a host.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <sstream>

#include "catkintack/config/key_hash.hpp"
#include "catkintack/serving/request_fingerprint.hpp"
#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;
using tests::valid_response;

constexpr const char* first_key = "key-of-acme-1";
constexpr const char* second_key = "key-of-acme-2";

scripted_reply greet(const received_request& request) {
  return {.bytes = valid_response(request, "hello")};
}

scripted_reply not_run_reply(const received_request&) {
  return {.bytes =
              "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
}

/// @brief Installs a table with the routes /p/ and, public, /open/.
/// @param keys Keys of the customer "acme". The customer is listed only if it has any.
void set_table(serving_fixture& world, const std::vector<std::string>& keys) {
  routes::route_table_builder builder{base::list_version(7)};
  builder.add(routes::service_profile{.service = base::service_id("press")});
  for (const char* prefix : {"/p/", "/open/"}) {
    builder.add(routes::route{.name = routes::route_id(prefix),
                              .host = "a.example",
                              .prefix = prefix,
                              .services = {{base::service_id("press"), 1}},
                              .delivery = delivery_kind::repeatable,
                              .timeout = std::chrono::seconds(2),
                              .latency_objective = std::chrono::seconds(1),
                              .max_attempts = 2,
                              .is_public = prefix == std::string_view("/open/")});
  }
  if (!keys.empty()) {
    routes::customer_policy acme{.id = base::customer_id("acme")};
    std::ranges::transform(keys, std::back_inserter(acme.key_hashes), config::hash_key);
    builder.add(std::move(acme));
    builder.add(routes::customer_policy{.id = base::customer_id("other")});
  }
  world.state.table = std::make_shared<const routes::route_table>(std::move(builder).build());
}

std::string request_head(const std::string& target, const std::string& headers) {
  return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: 9c\r\n" +
         headers + "\r\n";
}

std::string with_key(const char* key = first_key) {
  return std::string("Authorization: Bearer ") + key + "\r\n";
}

constexpr const char* smuggled = "Catkintack-Customer: other\r\ncATKINTACK-cUSTOMER: other\r\n";

/// @brief Makes one call on a new connection.
std::string call_once(serving_fixture& world, const std::string& request) {
  scripted_caller caller(world);
  caller.send(request);
  EXPECT_TRUE(caller.wait_for("\r\n\r\n"));
  return caller.received_bytes;
}

/// @brief Checks what left the host for an upstream or another host.
/// @param customer The name that it must hold, or "" for none.
void expect_identity(const received_request& seen, const std::string& customer) {
  EXPECT_EQ(seen.count("Authorization"), 0U);
  EXPECT_EQ(seen.count("Catkintack-Customer"), customer.empty() ? 0U : 1U);
  EXPECT_EQ(seen["Catkintack-Customer"], customer);
  std::ostringstream text;
  text << seen;
  EXPECT_EQ(text.str().find("key-of-"), std::string::npos) << text.str();
}

/// @brief Checks that neither the log nor the metrics of a host hold a key or its hash.
void expect_no_key(const serving_fixture& world) {
  std::string text =
      world.state.metrics.prometheus_text() + world.state.customers.prometheus_text();
  for (const std::string& line : world.log_lines) {
    text += line;
  }
  for (const std::string& secret :
       {std::string("key-of-"), config::hash_key(first_key), config::hash_key(second_key)}) {
    EXPECT_EQ(text.find(secret), std::string::npos) << text;
  }
}

bool has_logged(const serving_fixture& world, const std::string& event, const std::string& field) {
  return std::ranges::any_of(world.log_lines, [&](const std::string& line) {
    return line.find("event=" + event) != std::string::npos &&
           line.find(field) != std::string::npos;
  });
}

// Guards against upstreams that learn a key, or believe a customer's name that the caller sent.
TEST(customer_path, upstream_gets_the_customers_name_and_no_key) {
  serving_fixture world;
  set_table(world, {first_key, second_key});
  auto& upstream = world.add("a", greet);
  scripted_caller caller(world);
  caller.send(request_head("/p/x", with_key() + smuggled + "Transfer-Encoding: chunked\r\n"));
  // Trailers are header fields as well.
  caller.send("1\r\nx\r\n0\r\n" + with_key(second_key) + "Catkintack-Customer: other\r\n\r\n");
  ASSERT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
  ASSERT_EQ(upstream.received.size(), 1U);
  expect_identity(upstream.received[0], "acme");
  EXPECT_TRUE(has_logged(world, "call_ended", "customer=acme"));
  EXPECT_NE(world.state.customers.prometheus_text().find(
                "catkintack_customer_calls_total{customer=\"acme\"} 1\n"),
            std::string::npos);
  expect_no_key(world);
}

// Guards against a caller that has the host's own header removed by naming it as hop-by-hop.
TEST(customer_path, connection_header_of_the_caller_does_not_remove_the_name) {
  serving_fixture world;
  set_table(world, {first_key});
  auto& upstream = world.add("a", greet);
  call_once(world, request_head("/p/x", with_key() + smuggled +
                                            "Connection: Catkintack-Customer, Authorization\r\n"));
  ASSERT_EQ(upstream.received.size(), 1U);
  expect_identity(upstream.received[0], "acme");
}

TEST(customer_path, caller_without_a_known_key_is_refused_before_its_body_is_read) {
  serving_fixture world;
  set_table(world, {first_key});
  auto& upstream = world.add("a", greet);
  for (const std::string& headers :
       {std::string(smuggled), with_key(second_key), with_key() + with_key(),
        "Authorization: Basic " + std::string(first_key) + "\r\n"}) {
    const std::string answer =
        call_once(world, request_head("/p/x", headers + "Content-Length: 100000\r\n"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 401")) << answer;
    EXPECT_NE(answer.find("WWW-Authenticate: Bearer\r\n"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("key-of-"), std::string::npos) << answer;
  }
  EXPECT_TRUE(upstream.received.empty());
  EXPECT_TRUE(has_logged(world, "request_refused", "customer="));
  EXPECT_NE(world.state.metrics.prometheus_text().find(
                "catkintack_identity_refusals_total{reason=\"unknown_key\"} 1"),
            std::string::npos);
  expect_no_key(world);
}

TEST(customer_path, resent_call_carries_the_name_and_no_key) {
  serving_fixture world;
  set_table(world, {first_key});
  world.fill_repeat_budget();
  auto& full = world.add("full", not_run_reply);
  auto& upstream = world.add("sound", greet);
  upstream.load = "1,0,2,100";
  const std::string answer = call_once(world, request_head("/p/x", with_key() + smuggled));
  ASSERT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  ASSERT_EQ(full.received.size() + upstream.received.size(), 2U);
  expect_identity(full.received.at(0), "acme");
  expect_identity(upstream.received.at(0), "acme");
  expect_no_key(world);
}

// Guards against a key that stays valid as long as its caller keeps the connection open.
TEST(customer_path, removed_key_is_refused_on_an_open_connection) {
  serving_fixture world;
  set_table(world, {first_key, second_key});
  auto& upstream = world.add("a", greet);
  scripted_caller caller(world);
  caller.send(request_head("/p/x", with_key()));
  ASSERT_TRUE(caller.wait_for("hello"));
  caller.received_bytes.clear();
  set_table(world, {second_key});
  caller.send(request_head("/p/x", with_key()));
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 401")) << caller.received_bytes;
  EXPECT_EQ(upstream.received.size(), 1U);
}

TEST(customer_path, public_route_needs_no_key_and_passes_on_none) {
  serving_fixture world;
  set_table(world, {first_key});
  auto& upstream = world.add("a", greet);
  call_once(world, request_head("/open/x", smuggled));
  call_once(world, request_head("/open/x", with_key(second_key) + smuggled));
  call_once(world, request_head("/open/x", with_key() + smuggled));
  ASSERT_EQ(upstream.received.size(), 3U);
  expect_identity(upstream.received[0], "");
  expect_identity(upstream.received[1], "");
  expect_identity(upstream.received[2], "acme");
}

// Guards against a host that admits any caller until the customers have reached it.
TEST(customer_path, deployment_with_customers_waits_for_them) {
  serving_fixture world([](serving_options& options) { options.requires_customers = true; });
  set_table(world, {});
  auto& upstream = world.add("a", greet);
  const std::string refused = call_once(world, request_head("/p/x", with_key()));
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
  EXPECT_NE(refused.find("not run: no customers known yet"), std::string::npos) << refused;
  call_once(world, request_head("/open/x", with_key() + smuggled));
  ASSERT_EQ(upstream.received.size(), 1U);
  expect_identity(upstream.received[0], "");
}

TEST(customer_path, deployment_without_customers_passes_all_headers_on) {
  serving_fixture world;
  set_table(world, {});
  auto& upstream = world.add("a", greet);
  call_once(world, request_head("/p/x", with_key() + "Catkintack-Customer: other\r\n"));
  ASSERT_EQ(upstream.received.size(), 1U);
  EXPECT_EQ(upstream.received[0]["Authorization"], std::string("Bearer ") + first_key);
  EXPECT_EQ(upstream.received[0]["Catkintack-Customer"], "other");
}

/// @brief Makes a host relay its calls to an address.
void relay_to(serving_fixture& world, const base::address& where) {
  world.state.isolation.on_check(0, 4, world.state.clock());
  world.state.relays.on_offer(where, {.available = true}, world.state.clock());
}

TEST(customer_path, other_hosts_get_the_name_and_no_key) {
  serving_fixture world;
  set_table(world, {first_key});
  tests::scripted_upstream other_host(world.io, "host", greet);
  relay_to(world, other_host.address());
  const std::string answer = call_once(world, request_head("/p/x", with_key() + smuggled));
  ASSERT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  expect_identity(other_host.received.at(0), "acme");
  expect_no_key(world);
}

// Guards against a caller that names a customer through a host that has no customers yet.
TEST(customer_path, host_without_customers_relays_no_name_of_a_customer) {
  serving_fixture world;
  set_table(world, {});
  tests::scripted_upstream other_host(world.io, "host", greet);
  relay_to(world, other_host.address());
  call_once(world, request_head("/p/x", "Catkintack-Customer: other\r\n"));
  expect_identity(other_host.received.at(0), "");
}

/// @brief A host that relays its calls to another one.
struct relaying_pair {
  relaying_pair() {
    set_table(first, {first_key});
    set_table(second, {first_key});
    relay_to(first, second.state.options.relays);
  }

  std::string call_once(const std::string& request) {
    scripted_caller caller(first);
    caller.send(request);
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (caller.received_bytes.find("\r\n\r\n") == std::string::npos &&
           std::chrono::steady_clock::now() < give_up_at) {
      first.io.run_one_for(std::chrono::milliseconds(1));
      second.io.run_one_for(std::chrono::milliseconds(1));
    }
    return caller.received_bytes;
  }

  serving_fixture first;
  serving_fixture second{[](serving_options& options) { options.relays = tests::free_address(); }};
};

TEST(customer_path, relayed_call_keeps_its_customer) {
  relaying_pair hosts;
  auto& upstream = hosts.second.add("a", greet);
  const std::string answer = hosts.call_once(request_head("/p/x", with_key() + smuggled));
  ASSERT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  expect_identity(upstream.received.at(0), "acme");
  EXPECT_TRUE(has_logged(hosts.second, "call_ended", "customer=acme"));
  hosts.call_once(request_head("/open/x", smuggled));
  expect_identity(upstream.received.at(1), "");
  expect_no_key(hosts.first);
  expect_no_key(hosts.second);
}

// Guards against a customer that is served through a host whose table is older.
TEST(customer_path, relayed_call_of_an_unknown_customer_is_not_run) {
  relaying_pair hosts;
  auto& upstream = hosts.second.add("a", greet);
  routes::route_table_builder builder{base::list_version(8)};
  for (const routes::service_profile& one : hosts.second.state.table->profiles()) {
    builder.add(one);
  }
  for (const routes::route& one : hosts.second.state.table->routes()) {
    builder.add(one);
  }
  builder.add(routes::customer_policy{.id = base::customer_id("other")});
  hosts.second.state.table =
      std::make_shared<const routes::route_table>(std::move(builder).build());
  const std::string answer = hosts.call_once(request_head("/p/x", with_key()));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_TRUE(upstream.received.empty());
  EXPECT_TRUE(has_logged(hosts.second, "request_refused", "status=421"));
  EXPECT_TRUE(has_logged(hosts.first, "call_relayed", "outcome=not_run") ||
              has_logged(hosts.first, "call_relayed", "did not run"));
}

// Guards against fingerprints from which a key could be guessed, and against a crashing request
// that is a new one with each key of its customer.
TEST(request_fingerprint, depends_on_the_customer_and_not_on_the_key) {
  call one;
  one.method = "POST";
  one.target = "/p/x";
  one.has_customer_rules = true;
  one.customer = base::customer_id("acme");
  call same = one;
  same.headers.set(http::field::authorization, "Bearer k");
  EXPECT_EQ(fingerprint_of(same), fingerprint_of(one));
  call other = one;
  other.customer = base::customer_id("other");
  EXPECT_NE(fingerprint_of(other), fingerprint_of(one));
}

}  // namespace
}  // namespace catkintack::serving
