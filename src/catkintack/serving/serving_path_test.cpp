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

scripted_reply not_run_reply(const received_request&) {
  return {.bytes =
              "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
}

TEST(serving_path, target_headers_and_body_pass_unchanged) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& upstream = world.add("a", healthy_reply);
  scripted_caller caller(world);
  caller.send(
      "POST /p/a%20b//..%2F?q=&r=%zz HTTP/1.1\r\nHost: a.example\r\nX-Odd:  a%41, \"b\" \r\n"
      "X-Odd: c\r\nConnection: X-Hop\r\nX-Hop: 1\r\nCatkintack-Request-Id: 9c\r\n"
      "Catkintack-Time-Left-Ms: 900\r\nContent-Length: 4\r\n\r\n");
  const std::string body("a\0b\n", 4);
  caller.send(body);
  ASSERT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
  ASSERT_EQ(upstream.received.size(), 1U);
  const received_request& seen = upstream.received[0];
  EXPECT_EQ(seen.target(), "/p/a%20b//..%2F?q=&r=%zz");
  EXPECT_EQ(seen.method_string(), "POST");
  EXPECT_EQ(seen["X-Odd"], "a%41, \"b\"");
  EXPECT_EQ(seen.count("X-Odd"), 2U);
  EXPECT_EQ(seen.count("X-Hop"), 0U);
  EXPECT_EQ(seen["Catkintack-Expected-Upstream"], "a");
  EXPECT_LE(std::stoi(std::string(seen["Catkintack-Time-Left-Ms"])), 900);
  EXPECT_EQ(seen.body(), body);
}

TEST(serving_path, chunked_body_is_forwarded_completely) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& upstream = world.add("a", healthy_reply);
  scripted_caller caller(world);
  caller.send(
      "POST /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: 9c\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n");
  caller.send("2\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(caller.wait_for("hello"));
  EXPECT_EQ(upstream.received.at(0).body(), "abcde");
}

TEST(serving_path, large_body_is_streamed) {
  serving_fixture world([](serving_options& options) { options.max_buffered_body = 1024; });
  world.set_route(delivery_kind::at_most_once);
  auto& upstream = world.add("a", healthy_reply);
  scripted_caller caller(world);
  const std::string body(200000, 'x');
  caller.send(
      "POST /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: 9c\r\n"
      "Content-Length: 200000\r\n\r\n");
  for (std::size_t at = 0; at < body.size(); at += 20000) {
    caller.send(body.substr(at, 20000));
    world.io.poll();
  }
  ASSERT_TRUE(caller.wait_for("hello"));
  EXPECT_EQ(upstream.received.at(0).body(), body);
}

TEST(serving_path, large_response_is_forwarded_completely) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  const std::string body(300000, 'y');
  world.add("a", [&](const received_request& request) -> scripted_reply {
    return {.bytes = valid_response(request, body)};
  });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(world.run_until([&] { return caller.received_bytes.size() > body.size(); }));
  EXPECT_EQ(caller.received_bytes.substr(caller.received_bytes.size() - body.size()), body);
}

TEST(serving_path, response_ended_by_close_gets_content_length) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  world.add("a", [](const received_request&) -> scripted_reply {
    return {.bytes = "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\n\r\nwhole", .close_after = true};
  });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("whole"));
  EXPECT_NE(caller.received_bytes.find("Content-Length: 5"), std::string::npos);
}

TEST(serving_path, pipelined_requests_are_answered_in_order) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  auto& upstream = world.add("a", [](const received_request& request) -> scripted_reply {
    return {.bytes =
                valid_response(request, "body-" + std::string(request["Catkintack-Request-Id"]))};
  });
  scripted_caller caller(world);
  caller.get("one");
  caller.get("two");
  ASSERT_TRUE(caller.wait_for("body-two"));
  EXPECT_LT(caller.received_bytes.find("body-one"), caller.received_bytes.find("body-two"));
  EXPECT_EQ(upstream.received.size(), 2U);
}

TEST(serving_path, truncated_response_is_not_forwarded) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& upstream = world.add("a", [](const received_request&) -> scripted_reply {
    return {.bytes = "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\nContent-Length: 9\r\n\r\ncut",
            .close_after = true};
  });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 502")) << caller.received_bytes;
  EXPECT_EQ(upstream.received.size(), 1U);
}

TEST(serving_path, success_without_proof_header_is_not_forwarded) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("a", [](const received_request&) -> scripted_reply {
    return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"};
  });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 502")) << caller.received_bytes;
}

TEST(serving_path, surplus_response_is_discarded) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  auto& upstream = world.add("a", [](const received_request& request) -> scripted_reply {
    const std::string own =
        valid_response(request, "body-" + std::string(request["Catkintack-Request-Id"]));
    return {.bytes = own + valid_response(request, "surplus")};
  });
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("body-one"));
  caller.get("two");
  ASSERT_TRUE(caller.wait_for("body-two"));
  EXPECT_EQ(caller.received_bytes.find("surplus"), std::string::npos);
  EXPECT_EQ(upstream.received.size(), 2U);
}

TEST(serving_path, late_response_to_another_call_is_discarded) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("a", [](const received_request& request) -> scripted_reply {
    return {.bytes =
                "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\nCatkintack-Request-Id: other\r\n"
                "Content-Length: 5\r\n\r\nstray" +
                valid_response(request, "own")};
  });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("own"));
  EXPECT_EQ(caller.received_bytes.find("stray"), std::string::npos);
}

TEST(serving_path, call_that_did_not_run_is_retried_on_another_upstream) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.fill_repeat_budget();
  auto& full = world.add("full", not_run_reply);
  auto& upstream = world.add("sound", healthy_reply);
  upstream.load = "1,0,2,100";
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("hello"));
  EXPECT_EQ(full.received.size(), 1U);
  EXPECT_EQ(upstream.received.size(), 1U);
}

TEST(serving_path, not_run_response_has_retry_after) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("full", not_run_reply);
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 503")) << caller.received_bytes;
  EXPECT_NE(caller.received_bytes.find("Retry-After: 0."), std::string::npos);
  EXPECT_EQ(caller.received_bytes.find("Catkintack-Proof"), std::string::npos);
}

TEST(serving_path, failed_at_most_once_call_is_sent_once) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.fill_repeat_budget();
  auto& broken = world.add(
      "a", [](const received_request&) -> scripted_reply { return {.close_after = true}; });
  auto& other = world.add("b", healthy_reply);
  other.load = "1,0,2,100";
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 502")) << caller.received_bytes;
  EXPECT_EQ(broken.received.size() + other.received.size(), 1U);
}

TEST(serving_path, failed_repeatable_call_is_retried_on_another_upstream) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  world.fill_repeat_budget();
  world.add("a", [](const received_request&) -> scripted_reply { return {.close_after = true}; });
  world.add("b", healthy_reply).load = "1,0,2,100";
  scripted_caller caller(world);
  caller.get("9c");
  EXPECT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
}

TEST(serving_path, status_503_without_not_run_header_becomes_502) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("a", [](const received_request&) -> scripted_reply {
    return {.bytes =
                "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Proof: p\r\n"
                "Content-Length: 0\r\n\r\n"};
  });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 502")) << caller.received_bytes;
}

TEST(serving_path, route_timeout_ends_the_call) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once, std::chrono::milliseconds(100));
  auto& upstream =
      world.add("a", [](const received_request&) -> scripted_reply { return {.withhold = true}; });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 504")) << caller.received_bytes;
  EXPECT_TRUE(world.run_until([&] { return upstream.closed_by_gateway == 1; }));
}

TEST(serving_path, caller_disconnect_closes_the_upstream_connection) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  auto& upstream =
      world.add("a", [](const received_request&) -> scripted_reply { return {.withhold = true}; });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(world.run_until([&] { return upstream.received.size() == 1; }));
  caller.disconnect();
  EXPECT_TRUE(world.run_until([&] { return upstream.closed_by_gateway == 1; }));
}

TEST(serving_path, leaving_upstream_gets_no_call) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  auto& leaving = world.add("a", healthy_reply);
  world.add_to_directory(leaving, true);
  auto& upstream = world.add("b", healthy_reply);
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("hello"));
  EXPECT_EQ(leaving.probes, 0);
  EXPECT_EQ(upstream.received.size(), 1U);
}

TEST(serving_path, address_that_now_belongs_to_another_upstream_is_not_used) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& reused = world.add("old", healthy_reply);
  reused.id = "new";
  auto& upstream = world.add("b", healthy_reply);
  upstream.load = "1,0,2,100";
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("hello"));
  EXPECT_TRUE(reused.received.empty());
}

TEST(serving_path, request_without_a_route_is_not_found) {
  serving_fixture world;
  world.set_route(delivery_kind::repeatable);
  world.add("a", healthy_reply);
  scripted_caller caller(world);
  caller.get("9c", "/q/x");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 404")) << caller.received_bytes;
}

TEST(serving_path, host_without_routes_responds_not_run) {
  serving_fixture world;
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 503")) << caller.received_bytes;
}

struct illegal_request {
  std::string bytes;
  std::string status;
};

TEST(serving_path, illegal_requests_reach_no_upstream) {
  const std::string head = "POST /p/x HTTP/1.1\r\nHost: a.example\r\n";
  const std::vector<illegal_request> cases = {
      {"GE(T /p/x HTTP/1.1\r\n\r\n", "400"},
      {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
      {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
      {head + "Content-Length: 99999999999\r\n\r\n", "413"},
      {head + "X: " + std::string(20000, 'a') + "\r\n\r\n", "431"},
  };
  for (const illegal_request& one : cases) {
    serving_fixture world;
    world.set_route(delivery_kind::at_most_once);
    auto& upstream = world.add("a", healthy_reply);
    scripted_caller caller(world);
    caller.send(one.bytes);
    ASSERT_TRUE(caller.wait_for("\r\n\r\n")) << one.bytes.substr(0, 80);
    EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 " + one.status))
        << one.bytes.substr(0, 80);
    EXPECT_TRUE(upstream.received.empty());
  }
}

// Guards against a late second copy of an answer that the next caller on the connection gets.
TEST(serving_path, late_copy_of_an_answer_is_not_given_to_a_call_without_an_id) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  std::string first;
  world.add("a", [&](const received_request& request) -> scripted_reply {
    if (first.empty()) {
      first = valid_response(request, "answer of one");
      return {.bytes = first};
    }
    return {.bytes = first + valid_response(request, "own answer")};
  });
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("answer of one"));
  scripted_caller other(world);
  other.send("GET /p/x HTTP/1.1\r\nHost: a.example\r\n\r\n");
  ASSERT_TRUE(other.wait_for("answer"));
  EXPECT_TRUE(other.wait_for("own answer"));
  EXPECT_EQ(other.received_bytes.find("answer of one"), std::string::npos);
}

TEST(planned_stop, running_call_is_finished_and_the_host_is_not_ready) {
  serving_fixture world([](serving_options& options) {
    options.stop_accepting_after = std::chrono::milliseconds(30);
  });
  world.set_route(delivery_kind::at_most_once);
  auto& upstream = world.add("a", [](const received_request& request) -> scripted_reply {
    return {.bytes = valid_response(request, "done")};
  });
  scripted_caller caller(world);
  caller.get("9c");
  ASSERT_TRUE(world.run_until([&] { return upstream.probes > 0; }));
  std::size_t cut = 99;
  EXPECT_TRUE(world.state.ready());
  world.front.stop([&](std::size_t count) { cut = count; });
  EXPECT_FALSE(world.state.ready());
  EXPECT_TRUE(caller.wait_for("done"));
  EXPECT_NE(caller.received_bytes.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(world.run_until([&] { return cut != 99; }));
  EXPECT_EQ(cut, 0U);
}

}  // namespace
}  // namespace catkintack::serving
