// Upstreams that close the connection within the head of their response.
#include <gtest/gtest.h>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;

const std::string heads[] = {
    "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\nCatkintack-Request-Id: one\r\n"
    "Content-Length: 5\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\nCatkintack-Request-Id: one\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\nCatkintack-Request-Id: one\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\n\r\n"};

// Guards against an answer that is cut within its head and passed on as a whole one.
TEST(cut_head, is_never_passed_on_as_a_response) {
  for (const std::string& head : heads) {
    // A head without a length is complete after its empty line; a body may follow until the close.
    for (std::size_t length = 0; length < head.size(); ++length) {
      serving_fixture world;
      world.set_route(delivery_kind::at_most_once);
      world.add("a", [&](const received_request&) -> scripted_reply {
        return {.bytes = head.substr(0, length), .close_after = true};
      });
      scripted_caller caller(world);
      caller.get("one");
      ASSERT_TRUE(caller.wait_for("\r\n\r\n")) << length;
      EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 502"))
          << length << ": " << caller.received_bytes;
    }
  }
}

// Guards against the same on a connection that carried a whole response before.
TEST(cut_head, is_never_passed_on_after_a_whole_response) {
  const std::string& head = heads[0];
  for (std::size_t length = 0; length < head.size(); length += 7) {
    serving_fixture world;
    world.set_route(delivery_kind::at_most_once);
    world.add("a", [&](const received_request& request) -> scripted_reply {
      if (request["Catkintack-Request-Id"] == "zero") {
        return {.bytes = tests::valid_response(request, "whole")};
      }
      return {.bytes = head.substr(0, length), .close_after = true};
    });
    scripted_caller caller(world);
    caller.get("zero");
    ASSERT_TRUE(caller.wait_for("whole"));
    caller.received_bytes.clear();
    caller.get("one");
    ASSERT_TRUE(caller.wait_for("\r\n\r\n")) << length;
    EXPECT_TRUE(caller.received_bytes.starts_with("HTTP/1.1 502"))
        << length << ": " << caller.received_bytes;
  }
}

}  // namespace
}  // namespace catkintack::serving
