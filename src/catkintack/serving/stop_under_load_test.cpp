// A planned stop while callers connect and send.
#include <gtest/gtest.h>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;
using tests::valid_response;

scripted_reply healthy_reply(const received_request& request) {
  return {.bytes = valid_response(request, "hello")};
}

// Guards against a stop that cuts off a request whose last bytes arrive while it is being read.
TEST(stop_under_load, request_that_is_being_read_is_answered_before_the_host_stops) {
  serving_fixture world([](serving_options& options) {
    options.stop_accepting_after = std::chrono::milliseconds(10);
    options.stop_limit = std::chrono::seconds(15);
  });
  world.set_route(delivery_kind::at_most_once);
  world.add("a", healthy_reply);
  scripted_caller caller(world);
  caller.send("GET /p/x HTTP/1.1\r\nHost: a.example\r\n");
  // An answered call shows that the loop has run, and so the bytes above have been read.
  scripted_caller other(world);
  other.get("other");
  ASSERT_TRUE(other.wait_for("hello"));
  bool stopped = false;
  world.front.stop([&](std::size_t) { stopped = true; });
  ASSERT_TRUE(world.run_until([&] { return world.state.stop == stop_stage::refusing; }));
  EXPECT_FALSE(stopped);
  caller.send("Catkintack-Request-Id: one\r\n\r\n");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  EXPECT_TRUE(world.run_until([&] { return stopped; }));
}

// Guards against a stop that resets connections which the kernel has accepted and the host has not.
TEST(stop_under_load, connection_in_the_backlog_is_handed_over_before_the_listener_closes) {
  asio::io_context io;
  listener listening(io);
  const std::uint16_t port = [] {
    asio::io_context unused;
    return asio::ip::tcp::acceptor(unused, {asio::ip::tcp::v4(), 0}).local_endpoint().port();
  }();
  std::vector<asio::ip::tcp::socket> accepted;
  ASSERT_FALSE(listening.listen(
      {"127.0.0.1", port},
      [&](asio::ip::tcp::socket socket) { accepted.push_back(std::move(socket)); },
      [](const error_code&) {}));
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < 3; ++i) {
    callers.emplace_back(io).connect({asio::ip::make_address("127.0.0.1"), port});
  }
  listening.close();
  EXPECT_EQ(accepted.size(), callers.size());
}

/// @brief A stop in which a call with a deadline of 4 s may outlast the stop limit.
void shorten_stop(serving_options& options) {
  options.stop_estimates_for = {};
  options.stop_limit = std::chrono::seconds(1);
}

scripted_reply refusing_reply(const received_request& request) {
  return {.bytes =
              "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n"
              "Catkintack-Request-Id: " +
              std::string(request["Catkintack-Request-Id"]) + "\r\nContent-Length: 0\r\n\r\n"};
}

// Guards against calls that are accepted late in a stop and cut without an answer (incident 13).
TEST(stop_under_load, call_that_may_outlast_the_stop_limit_is_refused_at_once) {
  serving_fixture world(shorten_stop);
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(60));
  auto& upstream = world.add("a", healthy_reply);
  scripted_caller caller(world);
  world.front.stop([](std::size_t) {});
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("this host stops before the call could end"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 503")) << caller.received_bytes;
  EXPECT_NE(caller.received_bytes.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(caller.wait_for_close());
  EXPECT_TRUE(upstream.received.empty());
}

// Guards against refusing calls for the stop that certainly end before it (incident 13).
TEST(stop_under_load, call_whose_deadline_passes_before_the_stop_limit_is_served) {
  serving_fixture world([](serving_options& options) {
    options.stop_estimates_for = {};
    options.stop_limit = std::chrono::seconds(60);
  });
  world.set_route(delivery_kind::at_most_once);
  world.add("a", healthy_reply);
  scripted_caller caller(world);
  world.front.stop([](std::size_t) {});
  caller.get("one");
  EXPECT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
}

/// @brief A stop in which estimates count, and no call is certain to end before the limit.
void estimate_in_stop(serving_options& options) {
  options.stop_estimates_for = std::chrono::seconds(60);
  options.stop_limit = std::chrono::seconds(60);
}

// Guards against refusing all calls with a distant deadline from the beginning of a stop on.
TEST(stop_under_load, call_that_is_expected_to_end_in_time_is_served_early_in_a_stop) {
  serving_fixture world(estimate_in_stop);
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(100));
  world.add("a", healthy_reply);
  scripted_caller caller(world);
  caller.get("first");  // Gives the route an estimate.
  ASSERT_TRUE(caller.wait_for("hello"));
  caller.received_bytes.clear();
  world.front.stop([](std::size_t) {});
  caller.send("GET /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n\r\n");
  EXPECT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
}

// Guards against sending calls during a stop that are expected to be cut by it.
TEST(stop_under_load, call_that_is_expected_to_outlast_the_stop_limit_is_refused) {
  serving_fixture world(estimate_in_stop);
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(300));
  auto& upstream = world.add("a", healthy_reply);
  scripted_caller caller(world);
  world.front.stop([](std::size_t) {});
  // Without a response so far, a third of the objective of 150 s is assumed.
  caller.send("GET /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n\r\n");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  EXPECT_TRUE(upstream.received.empty());
}

// Guards against a call that waits for a slot when the stop begins, and is then sent although it
// may outlast the stop limit.
TEST(stop_under_load, waiting_call_is_refused_when_it_may_outlast_the_stop_limit) {
  serving_fixture world(shorten_stop);
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(60));
  auto& upstream = world.add("a", healthy_reply);
  upstream.load = "2,5,2,100";
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(world.run_until([&] { return upstream.probes > 0; }));
  world.front.stop([](std::size_t) {});
  upstream.load = "0,0,2,100";
  ASSERT_TRUE(caller.wait_for("this host stops before the call could end"));
  EXPECT_TRUE(upstream.received.empty());
}

// Guards against a retry that is sent during a stop although it may outlast the stop limit.
TEST(stop_under_load, call_is_not_retried_when_it_may_outlast_the_stop_limit) {
  serving_fixture world(shorten_stop);
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(60));
  world.fill_repeat_budget();
  world.add("a", [&](const received_request& request) {
    world.front.stop([](std::size_t) {});
    return refusing_reply(request);
  });
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";  // So that the other one is chosen first.
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("this host stops before the call could end"));
  EXPECT_TRUE(other.received.empty());
}

// Guards against a refusal during a stop that promises "not run" after a failed attempt.
TEST(stop_under_load, call_that_may_have_run_is_not_refused_as_not_run) {
  serving_fixture world(shorten_stop);
  world.set_route(delivery_kind::repeatable, std::chrono::seconds(60));
  world.fill_repeat_budget();
  world.add("a", [&](const received_request&) -> scripted_reply {
    world.front.stop([](std::size_t) {});
    return {.close_after = true};
  });
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 502")) << caller.received_bytes;
  EXPECT_TRUE(other.received.empty());
}

// Guards against a reset that discards the refusal of a call whose body is still being sent
// (incident 13).
TEST(stop_under_load, refusal_is_not_lost_by_a_reset_while_the_body_arrives) {
  serving_fixture world(shorten_stop);
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(60));
  world.add("a", healthy_reply);
  scripted_caller caller(world);
  world.front.stop([](std::size_t) {});
  const std::string half(100'000, 'x');
  caller.send(
      "POST /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n"
      "Content-Length: 200000\r\n\r\n" +
      half);
  ASSERT_TRUE(caller.wait_for("this host stops before the call could end"));
  caller.send_some(half);
  ASSERT_TRUE(caller.wait_for_close());
  EXPECT_EQ(caller.close_reason, asio::error::eof) << caller.close_reason.message();
}

// Guards against a call that is relayed to the next host although a stop has begun that it may
// outlast.
TEST(stop_under_load, call_is_not_relayed_further_when_it_may_outlast_the_stop_limit) {
  serving_fixture world(shorten_stop);
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(60));
  auto& upstream = world.add("a", healthy_reply);
  const auto stop_and_refuse = [&](const received_request& request) -> scripted_reply {
    world.front.stop([](std::size_t) {});
    return {.bytes = "HTTP/1.1 421 Misdirected Request\r\nCatkintack-Request-Id: " +
                     std::string(request["Catkintack-Request-Id"]) +
                     "\r\nContent-Length: 0\r\n\r\n"};
  };
  tests::scripted_upstream one(world.io, "one", stop_and_refuse);
  tests::scripted_upstream other(world.io, "other", stop_and_refuse);
  world.isolate();
  for (const auto* const host : {&one, &other}) {
    world.state.relays.on_offer(host->address(), {.available = true}, world.state.clock());
  }
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("this host stops before the call could end"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 503")) << caller.received_bytes;
  EXPECT_EQ(one.received.size() + other.received.size(), 1U);
  EXPECT_TRUE(upstream.received.empty());
}

}  // namespace
}  // namespace catkintack::serving
