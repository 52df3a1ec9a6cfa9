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

}  // namespace
}  // namespace catkintack::serving
