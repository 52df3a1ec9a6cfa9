#include "catkintack/serving/http_message.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace catkintack::serving {
namespace {

namespace http = boost::beast::http;

TEST(http_message, hop_by_hop_headers_are_dropped) {
  http::fields received;
  received.insert("X-Keep", "a %41");
  received.insert("Connection", "close, X-Named");
  received.insert("X-Named", "b");
  received.insert("Keep-Alive", "timeout=5");
  received.insert("Transfer-Encoding", "chunked");
  received.insert("Time-Left", "5");
  const std::string text =
      std::move(head_writer::request("GET", "/a%20b?c=").add_forwarded(received, {"time-left"}))
          .finish();
  EXPECT_EQ(text, "GET /a%20b?c= HTTP/1.1\r\nX-Keep: a %41\r\n\r\n");
}

TEST(http_message, repeated_headers_keep_their_order) {
  http::fields received;
  received.insert("X-A", "1");
  received.insert("X-B", "2");
  received.insert("X-A", "3");
  EXPECT_EQ(std::move(head_writer::response(200, "OK").add_forwarded(received, {}).add_framing(0))
                .finish(),
            "HTTP/1.1 200 OK\r\nX-A: 1\r\nX-A: 3\r\nX-B: 2\r\nContent-Length: 0\r\n\r\n");
}

TEST(http_message, local_response_has_retry_after) {
  const std::string text = serialize({.status = 503,
                                      .body = "busy\n",
                                      .retry_after = std::chrono::milliseconds(250),
                                      .request_id_header = "Id",
                                      .request_id = "9c"},
                                     true);
  EXPECT_EQ(text,
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n"
            "Retry-After: 0.250\r\nId: 9c\r\nConnection: close\r\n\r\nbusy\n");
}

TEST(http_message, empty_chunk_ends_the_body) {
  EXPECT_EQ(encode_chunk("abc"), "3\r\nabc\r\n");
  EXPECT_EQ(encode_chunk({}), "0\r\n\r\n");
}

}  // namespace
}  // namespace catkintack::serving
