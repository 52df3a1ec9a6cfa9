// Request bodies of calls that are sent more than once.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;
using tests::valid_response;

constexpr std::size_t buffer_size = 1024;
const std::string body(20'000, 'x');

scripted_reply healthy_reply(const received_request& request) {
  return {.bytes = valid_response(request, "hello")};
}

scripted_reply refusing_reply(const received_request& request) {
  return {.bytes =
              "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n"
              "Catkintack-Request-Id: " +
              std::string(request["Catkintack-Request-Id"]) + "\r\nContent-Length: 0\r\n\r\n"};
}

scripted_reply closing_reply(const received_request&) { return {.close_after = true}; }

scripted_reply withholding_reply(const received_request&) { return {.withhold = true}; }

scripted_reply server_error_reply(const received_request& request) {
  return {.bytes =
              "HTTP/1.1 500 Internal Server Error\r\nCatkintack-Proof: p\r\n"
              "Catkintack-Request-Id: " +
              std::string(request["Catkintack-Request-Id"]) + "\r\nContent-Length: 0\r\n\r\n"};
}

/// @brief Why a call is to be sent again, and how its body is framed.
struct resend_case {
  const char* name;
  scripted_reply (*first_reply)(const received_request&);
  delivery_kind delivery;
  bool chunked;
  const char* response;  ///< Start of the caller's response if the call cannot be sent again.

  /// Keeps addresses out of the test names that ctest lists.
  friend std::ostream& operator<<(std::ostream& out, const resend_case& one) {
    return out << one.name;
  }
};

std::string request_with_body(bool chunked) {
  const std::string head =
      "POST /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n";
  if (!chunked) {
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t piece_size = 5000;
  for (std::size_t at = 0; at < body.size(); at += piece_size) {
    text += encode_chunk(body.substr(at, piece_size));
  }
  return text + encode_chunk({});
}

class resend : public testing::TestWithParam<resend_case> {};

// Guards against a body that is cut after its buffered first part when the call is sent again
// (incident 14).
TEST_P(resend, every_upstream_gets_the_whole_body) {
  serving_fixture world([](serving_options& options) { options.max_buffered_body = buffer_size; });
  world.set_route(GetParam().delivery, std::chrono::milliseconds(1500));
  world.fill_repeat_budget();
  auto& first = world.add("a", GetParam().first_reply);
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";  // So that the other one is chosen first.
  scripted_caller caller(world);
  caller.send(request_with_body(GetParam().chunked));
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  ASSERT_EQ(first.received.size(), 1U);
  EXPECT_EQ(first.received[0].body(), body);
  for (const received_request& again : other.received) {
    EXPECT_EQ(again.body(), body);
  }
  const bool answered = caller.received_bytes.starts_with("HTTP/1.1 200");
  EXPECT_EQ(answered, !other.received.empty());
  if (!answered) {
    EXPECT_TRUE(caller.received_bytes.starts_with(GetParam().response)) << caller.received_bytes;
  }
}

INSTANTIATE_TEST_SUITE_P(
    reasons,
    resend,
    testing::Values(resend_case{"refused_chunked", refusing_reply, delivery_kind::at_most_once,
                                true, "HTTP/1.1 503"},
                    resend_case{"refused_with_length", refusing_reply, delivery_kind::at_most_once,
                                false, "HTTP/1.1 503"},
                    resend_case{"lost_chunked", closing_reply, delivery_kind::repeatable, true,
                                "HTTP/1.1 502"},
                    resend_case{"lost_with_length", closing_reply, delivery_kind::repeatable, false,
                                "HTTP/1.1 502"},
                    resend_case{"failed_chunked", server_error_reply, delivery_kind::repeatable,
                                true, "HTTP/1.1 500"},
                    resend_case{"failed_with_length", server_error_reply, delivery_kind::repeatable,
                                false, "HTTP/1.1 500"},
                    resend_case{"silent_chunked", withholding_reply, delivery_kind::repeatable,
                                true, "HTTP/1.1 504"},
                    resend_case{"silent_with_length", withholding_reply, delivery_kind::repeatable,
                                false, "HTTP/1.1 504"}),
    [](const auto& one) { return one.param.name; });

scripted_reply misdirected_reply(const received_request& request) {
  return {.bytes = "HTTP/1.1 421 Misdirected Request\r\nCatkintack-Request-Id: " +
                   std::string(request["Catkintack-Request-Id"]) + "\r\nContent-Length: 0\r\n\r\n"};
}

/// @brief Whether calls that were received have the whole body.
bool all_bodies_whole(const tests::scripted_upstream& receiver) {
  return std::ranges::all_of(receiver.received,
                             [](const received_request& one) { return one.body() == body; });
}

/// @brief Makes a host take itself for isolated although it reaches one upstream.
void isolate(serving_fixture& world) {
  for (const char* name : {"unreachable_1", "unreachable_2", "unreachable_3"}) {
    directory::endpoint entry;
    entry.record.id = base::upstream_id(name);
    entry.record.service = base::service_id("press");
    entry.record.where = {"127.0.0.1", 1};
    entry.record.region = world.state.options.region;
    entry.record.slots = 2;
    world.state.upstreams.upsert(entry, world.state.clock());
  }
  world.state.isolation.on_check(0, 4, world.state.clock());
}

class relayed_resend : public testing::TestWithParam<bool> {};

// Guards against a body that is cut when another host does not take the call and it is then sent to
// the next one, or to an upstream (incident 14).
TEST_P(relayed_resend, every_receiver_gets_the_whole_body) {
  serving_fixture world([](serving_options& options) { options.max_buffered_body = buffer_size; });
  world.set_route(delivery_kind::at_most_once);
  auto& upstream = world.add("a", healthy_reply);
  tests::scripted_upstream refusing(world.io, "refusing", misdirected_reply);
  tests::scripted_upstream refusing_too(world.io, "refusing_too", misdirected_reply);
  isolate(world);
  for (const auto* const host : {&refusing, &refusing_too}) {
    world.state.relays.on_offer(host->address(), {.available = true}, world.state.clock());
  }
  scripted_caller caller(world);
  caller.send(request_with_body(GetParam()));
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_GE(refusing.received.size() + refusing_too.received.size(), 1U);
  for (const auto* const receiver : {&refusing, &refusing_too, &upstream}) {
    EXPECT_TRUE(all_bodies_whole(*receiver)) << receiver->id;
  }
  const bool answered = caller.received_bytes.starts_with("HTTP/1.1 200");
  EXPECT_EQ(answered, !upstream.received.empty());
  EXPECT_TRUE(answered || caller.received_bytes.starts_with("HTTP/1.1 503"))
      << caller.received_bytes;
}

// Guards against refusing a call with a long body because a host could not be connected to.
TEST_P(relayed_resend, unreachable_host_leaves_the_body_for_the_next_one) {
  serving_fixture world([](serving_options& options) { options.max_buffered_body = buffer_size; });
  world.set_route(delivery_kind::at_most_once);
  tests::scripted_upstream taking(world.io, "taking", healthy_reply);
  isolate(world);
  world.state.relays.on_offer({"127.0.0.1", 1}, {.available = true}, world.state.clock());
  scripted_caller caller(world);
  caller.send(request_with_body(GetParam()));
  world.state.relays.on_offer(taking.address(), {.available = true}, world.state.clock());
  ASSERT_TRUE(caller.wait_for("hello")) << caller.received_bytes;
  EXPECT_TRUE(all_bodies_whole(taking));
}

INSTANTIATE_TEST_SUITE_P(framings, relayed_resend, testing::Bool(), [](const auto& one) {
  return one.param ? "chunked" : "with_length";
});

}  // namespace
}  // namespace catkintack::serving
