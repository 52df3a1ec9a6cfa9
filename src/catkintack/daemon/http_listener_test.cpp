#include "catkintack/daemon/http_listener.hpp"

#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>

#include "catkintack/net/socket.hpp"
#include "catkintack/net/socket_address.hpp"
#include "free_address.hpp"

namespace catkintack::daemon {
namespace {

/// TCP connection on which a test controls the bytes that are sent.
class raw_connection {
 public:
  explicit raw_connection(const base::address& where) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in target = net::to_socket_address(where);
    // The socket API takes addresses of all families as sockaddr.
    const auto* const generic = reinterpret_cast<const sockaddr*>(&target);
    EXPECT_EQ(::connect(socket_.descriptor(), generic, sizeof(target)), 0);
  }

  void write(const std::string& bytes) const {
    ::send(socket_.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Reads until a text has been received or the server closes the connection.
  std::string read_until(const std::string& text) const {
    std::string received;
    std::string buffer(4096, '\0');
    ssize_t length = 1;
    while (length > 0 && received.find(text) == std::string::npos) {
      length = ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
      received.append(buffer, 0, static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
    }
    return received;
  }

  std::string read_to_end() const { return read_until("no answer has this text"); }

 private:
  net::socket_handle socket_;
};

class http_listener_test : public ::testing::Test {
 protected:
  http_listener_test() {
    options_.where = tests::free_address();
    options_.idle_timeout = std::chrono::seconds(1);
    options_.max_body_bytes = 32;
    auto opened = http_listener::open(options_, [this](httplib::Server& server) {
      const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
        ++served_;
        response.set_content("answer to " + request.path, "text/plain");
      };
      server.Get(".*", serve);
      server.Post(".*", serve);
      server.Options(".*", serve);
    });
    listener_ = std::move(opened.value());
  }

  http_listener_options options_;
  std::atomic<int> served_ = 0;
  std::unique_ptr<http_listener> listener_;
};

/// Requests whose end is ambiguous, or that are refused before they are read completely.
constexpr const char* left_over_requests[] = {
    "GET /a HTTP/1.1\r\nContent-Length: 46\r\n\r\n",
    "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "OPTIONS /a HTTP/1.1\r\nContent-Length: 46\r\n\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: x46\r\n\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 46\r\n\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "no request at all\r\n\r\n",
};

/// Guards against unread bytes of a request that are served as the next request.
class left_over : public http_listener_test, public ::testing::WithParamInterface<const char*> {};

TEST_P(left_over, nothing_after_it_is_answered_on_the_connection) {
  const raw_connection connection(options_.where);
  connection.write(GetParam());
  const std::string first = connection.read_until("\r\n\r\n");
  connection.write("GET /hidden HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string all = first + connection.read_to_end();
  EXPECT_EQ(all.find("answer to /hidden"), std::string::npos) << all;
  EXPECT_EQ(all.rfind("HTTP/1.1 4", 0), 0U) << all;
  EXPECT_EQ(served_, 0);
}

INSTANTIATE_TEST_SUITE_P(requests,
                         left_over,
                         ::testing::ValuesIn(left_over_requests),
                         [](const auto& tested) { return "case_" + std::to_string(tested.index); });

TEST_F(http_listener_test, refused_body_gets_a_complete_error_response) {
  const raw_connection connection(options_.where);
  connection.write("GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string all = connection.read_to_end();
  const std::string body = R"({"error":"a GET request takes no body","outcome":"not_run"})";
  EXPECT_NE(all.find("\r\n\r\n" + body + "\n"), std::string::npos) << all;
  EXPECT_NE(all.find("Content-Length: " + std::to_string(body.size() + 1) + "\r\n"),
            std::string::npos)
      << all;
  EXPECT_NE(all.find("Connection: close\r\n"), std::string::npos) << all;
  EXPECT_EQ(served_, 0);
}

TEST_F(http_listener_test, rejects_bodies_over_the_limit) {
  const std::string body(options_.max_body_bytes + 1, 'x');
  const raw_connection sized(options_.where);
  sized.write("POST /a HTTP/1.1\r\nContent-Length: 33\r\n\r\n" + body);
  EXPECT_EQ(sized.read_to_end().rfind("HTTP/1.1 413", 0), 0U);
  const raw_connection chunked(options_.where);
  chunked.write("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n21\r\n" + body +
                "\r\n0\r\n\r\n");
  EXPECT_EQ(chunked.read_to_end().rfind("HTTP/1.1 411", 0), 0U);
  EXPECT_EQ(served_, 0);
}

TEST_F(http_listener_test, reuses_the_connection_for_the_next_request) {
  const raw_connection connection(options_.where);
  connection.write("GET /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_NE(connection.read_until("answer to /a").find("answer to /a"), std::string::npos);
  connection.write("GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(connection.read_to_end().find("answer to /b"), std::string::npos);
  EXPECT_EQ(served_, 2);
}

}  // namespace
}  // namespace catkintack::daemon
