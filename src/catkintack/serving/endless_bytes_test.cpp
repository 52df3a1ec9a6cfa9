// Upstreams that send bytes without end which are no answer.
#include <gtest/gtest.h>

#include <ostream>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;

struct endless_case {
  const char* name;
  std::string bytes;
  std::string repeated;

  /// Keeps addresses out of the test names that ctest lists.
  friend std::ostream& operator<<(std::ostream& out, const endless_case& one) {
    return out << one.name;
  }
};

class endless_bytes : public testing::TestWithParam<endless_case> {};

// Guards against an upstream that fills the memory of a host: whatever it sends, it is read only up
// to a limit, and the connection is closed well before the caller's deadline.
TEST_P(endless_bytes, are_read_up_to_a_limit) {
  serving_fixture world;
  // The deadline is far away, so that only a limit can end the exchange in time.
  world.set_route(routes::delivery_kind::at_most_once, std::chrono::seconds(60));
  auto& upstream = world.add("a", [](const received_request&) -> scripted_reply {
    return {.bytes = GetParam().bytes, .endless = true, .repeated = GetParam().repeated};
  });
  scripted_caller caller(world);
  caller.send(
      "GET /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n"
      "Catkintack-Time-Left-Ms: 60000\r\n\r\n");
  // Far more than the limit and the buffers of a socket.
  constexpr std::size_t enough = 64U << 20U;
  ASSERT_TRUE(world.run_until(
      [&] { return upstream.closed_by_gateway > 0 || upstream.endless_bytes > enough; }));
  EXPECT_LT(upstream.endless_bytes, enough);
  EXPECT_TRUE(caller.wait_for("HTTP/1.1 502"));
}

const std::string block(8192, 'x');

INSTANTIATE_TEST_SUITE_P(
    kinds,
    endless_bytes,
    testing::Values(endless_case{"no_head", "", block},
                    endless_case{"start_line", "HTTP/1.1 200 ", block},
                    endless_case{"header_value", "HTTP/1.1 200 OK\r\nX-Odd: ", block},
                    endless_case{"header_lines", "HTTP/1.1 200 OK\r\n", "X-Odd: y\r\n"},
                    endless_case{"informational_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                    endless_case{"body_without_proof", "HTTP/1.1 200 OK\r\n\r\n", block},
                    endless_case{"body_of_another_call",
                                 "HTTP/1.1 200 OK\r\nCatkintack-Request-Id: other\r\n"
                                 "Catkintack-Proof: p\r\n\r\n",
                                 block},
                    endless_case{"chunks_of_another_call",
                                 "HTTP/1.1 200 OK\r\nCatkintack-Request-Id: other\r\n"
                                 "Transfer-Encoding: chunked\r\nCatkintack-Proof: p\r\n\r\n",
                                 "4\r\nabcd\r\n"},
                    endless_case{"chunk_extension",
                                 "HTTP/1.1 200 OK\r\nCatkintack-Request-Id: one\r\n"
                                 "Transfer-Encoding: chunked\r\nCatkintack-Proof: p\r\n\r\n4;",
                                 block},
                    endless_case{"trailer",
                                 "HTTP/1.1 200 OK\r\nCatkintack-Request-Id: one\r\n"
                                 "Transfer-Encoding: chunked\r\nCatkintack-Proof: p\r\n\r\n0\r\n",
                                 "X-Odd: y\r\n"}),
    [](const auto& one) { return one.param.name; });

TEST(endless_caller_bytes, are_read_up_to_a_limit) {
  serving_fixture world;
  world.set_route(routes::delivery_kind::at_most_once, std::chrono::seconds(60));
  scripted_caller caller(world);
  caller.send(
      "POST /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n"
      "Transfer-Encoding: chunked\r\nCatkintack-Time-Left-Ms: 60000\r\n\r\n4;");
  constexpr int enough_blocks = 100;
  for (int i = 0; i < enough_blocks && !caller.closed; ++i) {
    caller.send_some(block);
    world.io.poll();
  }
  EXPECT_TRUE(caller.wait_for_close());
}

TEST(endless_probe_bytes, are_read_up_to_a_limit) {
  serving_fixture world;
  world.set_route(routes::delivery_kind::at_most_once);
  auto& upstream = world.add("a", [](const received_request&) -> scripted_reply { return {}; });
  upstream.probe_reply =
      scripted_reply{.bytes = "HTTP/1.1 200 OK\r\nCatkintack-Upstream: a\r\n\r\n",
                     .endless = true,
                     .repeated = block};
  scripted_caller caller(world);
  caller.get("one");
  EXPECT_TRUE(caller.wait_for("HTTP/1.1 503"));
  EXPECT_TRUE(world.run_until([&] { return upstream.closed_by_gateway > 0; }));
}

}  // namespace
}  // namespace catkintack::serving
