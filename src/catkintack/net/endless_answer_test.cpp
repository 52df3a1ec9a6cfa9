// Servers that send bytes without end, or that break the protocol, to the clients of this layer.
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/net/host_list.hpp"
#include "catkintack/net/http_fetch.hpp"
#include "catkintack/net/http_store.hpp"
#include "raw_server.hpp"

namespace catkintack::net {
namespace {

using std::chrono::seconds;
using tests::raw_server;

// Far more than all limits and the buffers of a socket.
constexpr std::size_t enough = 64U << 20U;
const std::string block(8192, 'x');

/// @brief A server that sends a beginning, and then the same bytes until the connection is closed
/// or `enough` bytes were sent.
class endless_server {
 public:
  endless_server(std::string beginning, std::string repeated)
      : server_([this, beginning = std::move(beginning), repeated = std::move(repeated)](
                    int descriptor) {
          for (bool open = raw_server::send(descriptor, beginning); open && sent_ < enough;) {
            open = raw_server::send(descriptor, repeated);
            sent_ += repeated.size();
          }
          return false;
        }) {}
  const base::address& address() const { return server_.address(); }
  std::size_t sent() const { return sent_; }

 private:
  std::atomic<std::size_t> sent_ = 0;
  raw_server server_;
};

/// @brief Beginnings of answers, and what follows without end.
std::vector<std::pair<std::string, std::string>> endless_answers() {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {{"", block},
          {"HTTP/1.1 200 ", block},
          {"HTTP/1.1 200 OK\r\nX-Odd: ", block},
          {"HTTP/1.1 200 OK\r\n", "X-Odd: y\r\n"},
          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
          {"HTTP/1.1 200 OK\r\n\r\n", block},
          {chunked, "2000\r\n" + block + "\r\n"},
          {chunked + "4;", block},
          {chunked + "0\r\n", "X-Odd: y\r\n"}};
}

// Guards against a server that fills the memory of a host: the upstreams of catkintackd, its store
// and its host list.
TEST(endless_answer, is_read_up_to_a_limit) {
  for (const auto& [beginning, repeated] : endless_answers()) {
    const endless_server server(beginning, repeated);
    // The time limit is far away, so that only a limit of bytes can end the exchange early.
    const fetch_result result = fetch({.where = server.address(), .timeout = seconds(60)});
    EXPECT_EQ(result.status, http_exchange_status::broken) << beginning;
    EXPECT_LT(server.sent(), enough) << beginning;
  }
}

TEST(endless_answer, of_the_store_is_read_up_to_a_limit) {
  for (const auto& [beginning, repeated] : endless_answers()) {
    const endless_server server(beginning, repeated);
    const auto store = make_http_store({.address = server.address(), .timeout = seconds(60)});
    EXPECT_FALSE(store->read("k")) << beginning;
    EXPECT_LT(server.sent(), enough) << beginning;
  }
}

TEST(endless_answer, of_the_host_list_is_read_up_to_a_limit) {
  for (const auto& [beginning, repeated] : endless_answers()) {
    const endless_server server(beginning, repeated);
    EXPECT_FALSE(fetch_host_list(server.address(), seconds(60))) << beginning;
    EXPECT_LT(server.sent(), enough) << beginning;
  }
}

/// @brief Sends the bytes and closes the connection.
fetch_result fetch_bytes(const std::string& bytes) {
  const raw_server server([&bytes](int descriptor) {
    raw_server::send(descriptor, bytes);
    return false;
  });
  return fetch({.where = server.address(), .timeout = seconds(30)});
}

// Guards against bytes that are no answer and are taken for one.
TEST(malformed_answer, is_broken) {
  const std::string end = "Content-Length: 5\r\n\r\nhello";
  for (const std::string& bytes :
       {"HTTP/1.1 000 Zero\r\n" + end, "HTTP/1.1 000 Zero\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
        "HTTP/1.1 600 High\r\n" + end, "HTTP/1.1 101 Switch\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
        "HTTP/1.1 200 OK\r\nX Odd: y\r\n" + end, "HTTP/1.1 200 OK\r\nX\x01: y\r\n" + end,
        "HTTP/1.1 200 OK\r\nX-Odd: y\r\n folded\r\n" + end,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + end,
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                    "5\r\nhello\r\n0\r\n\r\n")}) {
    EXPECT_EQ(fetch_bytes(bytes).status, http_exchange_status::broken) << bytes;
  }
}

TEST(malformed_answer, trailer_does_not_become_part_of_the_head) {
  const fetch_result result = fetch_bytes(
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\nX-Late: y\r\n\r\n");
  ASSERT_EQ(result.status, http_exchange_status::complete);
  EXPECT_EQ(result.response.body, "hello");
  EXPECT_FALSE(find_header(result.response.headers, "X-Late"));
}

}  // namespace
}  // namespace catkintack::net
