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

/// @brief Makes a call that a first upstream does not answer and a second one could.
/// @param memory For parts of bodies beyond the buffer.
/// @return Whether the call was sent again.
bool send_again(const resend_case& one, std::size_t memory) {
  serving_fixture world([=](serving_options& options) {
    options.max_buffered_body = buffer_size;
    options.max_kept_bodies = memory;
  });
  world.set_route(one.delivery, std::chrono::milliseconds(1500));
  world.fill_repeat_budget();
  auto& first = world.add("a", one.first_reply);
  auto& other = world.add("b", healthy_reply);
  other.load = "0,0,2,150";  // So that the other one is chosen first.
  {
    scripted_caller caller(world);
    caller.send(request_with_body(one.chunked));
    EXPECT_TRUE(caller.wait_for("\r\n\r\n"));
    EXPECT_EQ(first.received.size(), 1U);
    for (const auto* const upstream : {&first, &other}) {
      for (const received_request& request : upstream->received) {
        EXPECT_EQ(request.body(), body);
      }
    }
    const char* const expected = other.received.empty() ? one.response : "HTTP/1.1 200";
    EXPECT_TRUE(caller.received_bytes.starts_with(expected)) << caller.received_bytes;
  }
  EXPECT_TRUE(world.run_until([&] { return world.state.kept_body_bytes == 0; }));
  return !other.received.empty();
}

// Guards against a body that is cut after its buffered first part when the call is sent again
// (incident 14).
TEST_P(resend, call_whose_body_is_not_kept_is_not_sent_again) {
  for (const std::size_t memory : {std::size_t{0}, body.size() / 2}) {
    EXPECT_FALSE(send_again(GetParam(), memory)) << memory;
  }
}

// Guards against refusing calls with long bodies that could be sent again (incident 14).
TEST_P(resend, call_whose_body_is_kept_is_sent_again_with_the_whole_body) {
  EXPECT_TRUE(send_again(GetParam(), body.size()));
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

/// @brief Makes a call that two hosts do not take and an upstream could serve.
/// @param memory For parts of bodies beyond the buffer.
/// @return How often the call was sent.
std::size_t relay_again(bool chunked, std::size_t memory) {
  serving_fixture world([=](serving_options& options) {
    options.max_buffered_body = buffer_size;
    options.max_kept_bodies = memory;
  });
  world.set_route(delivery_kind::at_most_once);
  auto& upstream = world.add("a", healthy_reply);
  tests::scripted_upstream refusing(world.io, "refusing", misdirected_reply);
  tests::scripted_upstream refusing_too(world.io, "refusing_too", misdirected_reply);
  world.isolate();
  for (const auto* const host : {&refusing, &refusing_too}) {
    world.state.relays.on_offer(host->address(), {.available = true}, world.state.clock());
  }
  scripted_caller caller(world);
  caller.send(request_with_body(chunked));
  EXPECT_TRUE(caller.wait_for("\r\n\r\n"));
  std::size_t sent = 0;
  for (const auto* const receiver : {&refusing, &refusing_too, &upstream}) {
    EXPECT_TRUE(all_bodies_whole(*receiver)) << receiver->id;
    sent += receiver->received.size();
  }
  const char* const expected = upstream.received.empty() ? "HTTP/1.1 503" : "HTTP/1.1 200";
  EXPECT_TRUE(caller.received_bytes.starts_with(expected)) << caller.received_bytes;
  return sent;
}

class relayed_resend : public testing::TestWithParam<bool> {};

// Guards against a body that is cut when another host does not take the call and it is then sent to
// the next one, or to an upstream (incident 14).
TEST_P(relayed_resend, every_receiver_gets_the_whole_body) {
  EXPECT_EQ(relay_again(GetParam(), 0), 1U);
  EXPECT_GE(relay_again(GetParam(), body.size()), 2U);
}

// Guards against refusing a call with a long body because a host could not be connected to.
TEST_P(relayed_resend, unreachable_host_leaves_the_body_for_the_next_one) {
  serving_fixture world([](serving_options& options) { options.max_buffered_body = buffer_size; });
  world.set_route(delivery_kind::at_most_once);
  tests::scripted_upstream taking(world.io, "taking", healthy_reply);
  world.isolate();
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
