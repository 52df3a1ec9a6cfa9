#include "catkintack/daemon/traffic_server.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <mutex>
#include <nlohmann/json.hpp>

#include "catkintack/config/key_hash.hpp"
#include "catkintack/net/socket_address.hpp"
#include "free_address.hpp"
#include "raw_server.hpp"

namespace catkintack::daemon {
namespace {

const std::string answer_text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlabel";

settings make_settings() {
  settings result;
  result.callers = tests::free_address();
  result.max_connections = 8;
  result.max_body_bytes = 20'000;
  return result;
}

class traffic_server_test : public ::testing::Test {
 protected:
  traffic_server_test()
      : upstream_([this](int descriptor) { return serve(descriptor); }),
        worker_(make_core(), base::system_clock_hook()),
        server_(traffic_server::open(settings_, self_, worker_, metrics_).value()) {
    config::plans_list plans;
    const base::customer_id customer("mercato");
    plans.customers[customer] = {customer, base::plan_id("gold"), config::hash_key("key")};
    config::allowances_list allowances;
    const config::allowance entry{base::plan_id("gold"), base::service_id("press"), 1e6, 1'000'000,
                                  1'000};
    allowances.allowances[{entry.plan, entry.service}] = entry;
    worker_.submit(gateway::lists_adopted{std::make_shared<config::lists>(plans, allowances)});
    routing::upstream_record record;
    record.id = base::upstream_id("press-1");
    record.service = base::service_id("press");
    record.where = upstream_.address();
    record.slots = 2;
    worker_.submit(gateway::upstreams_listed{{record}});
  }

  /// Sends the response once the whole request body has arrived.
  bool serve(int descriptor) const {
    std::string body(body_bytes_, '\0');
    const ssize_t count = ::recv(descriptor, body.data(), body.size(), MSG_WAITALL);
    return count == static_cast<ssize_t>(body_bytes_) &&
           tests::raw_server::send(descriptor, answer_text);
  }

  std::unique_ptr<gateway::gateway> make_core() const {
    gateway::gateway_options options;
    options.self = self_;
    return std::make_unique<gateway::gateway>(options, base::seeded_random_hook(1),
                                              [](auto&&...) {});
  }

  static std::string post(const std::string& id,
                          const std::string& extra_headers,
                          const std::string& body) {
    return "POST /press/labels HTTP/1.1\r\nHost: x\r\nConnection: close\r\nCatkintack-Key: "
           "key\r\n" +
           (id.empty() ? "" : "Catkintack-Request-Id: gw-1.7.0." + id + "\r\n") + extra_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  static bool is_complete(const std::string& received) {
    static const std::string length_name = "Content-Length: ";
    const auto head = received.find("\r\n\r\n");
    const auto length = received.find(length_name);
    return head != std::string::npos && length < head &&
           received.size() >= head + 4 + std::stoul(received.substr(length + length_name.size()));
  }

  /// Sends bytes and returns what is received until a response is complete or the connection is
  /// closed.
  std::string exchange(const std::string& bytes, bool end_sending = false) const {
    const net::socket_handle socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in target = net::to_socket_address(settings_.callers);
    (void)::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&target),
                    sizeof(target));
    ::send(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (end_sending) {
      ::shutdown(socket.descriptor(), SHUT_WR);
    }
    std::string received;
    char buffer[4096];
    ssize_t count = 0;
    while (!is_complete(received) &&
           (count = ::recv(socket.descriptor(), buffer, sizeof(buffer), 0)) > 0) {
      received.append(buffer, static_cast<std::size_t>(count));
    }
    return received;
  }

  std::atomic<std::size_t> body_bytes_ = 5;
  settings settings_ = make_settings();
  delivery::host_incarnation self_{base::host_id("gw-1"), base::incarnation(7)};
  base::metric_registry metrics_;
  tests::raw_server upstream_;
  call_worker worker_;
  std::unique_ptr<traffic_server> server_;
};

TEST_F(traffic_server_test, request_cut_at_any_byte_is_never_run) {
  const std::string chunked = post("b", "Transfer-Encoding: chunked\r\n", "") + "5\r\nlot 7\r";
  exchange(chunked, true);
  const std::string whole = post("a", "", "lot 7");
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const std::string received = exchange(whole.substr(0, length), true);
    EXPECT_EQ(received.find("HTTP/1.1 200"), std::string::npos) << length;
  }
  EXPECT_EQ(upstream_.connections(), 0);
  EXPECT_NE(exchange(whole).find("label"), std::string::npos);
  EXPECT_EQ(upstream_.connections(), 1);
}

TEST_F(traffic_server_test, bad_requests_get_outcome_not_run) {
  const std::string chunked =
      "POST /press/labels HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\nlot 7\r\n0\r\n\r\n";
  const std::string malformed[] = {
      post("a", "", std::string(20'001, 'x')),                       // Too large.
      post("a", "X: " + std::string(9'000, 'x') + "\r\n", "lot 7"),  // Header too long.
      post("a", "Catkintack-Time-Left-Ms: soon\r\n", "lot 7"),
      post("a", "X: a%0d%0aInjected: b\r\n", "lot 7"),
      post("a b", "", "lot 7"),
      post("", "", "lot 7"),  // No id.
      chunked,
  };
  for (const std::string& request : malformed) {
    const std::string received = exchange(request);
    EXPECT_NE(received.find("Catkintack-Outcome: not_run"), std::string::npos)
        << request.substr(0, 120) << "\n"
        << received;
  }
  EXPECT_EQ(upstream_.connections(), 0);
}

TEST_F(traffic_server_test, request_without_id_gets_status_428_and_a_token) {
  const std::string received = exchange(post("", "", "lot 7"));
  EXPECT_NE(received.find("HTTP/1.1 428"), std::string::npos);
  EXPECT_NE(received.find("Catkintack-Token: gw-1.7.0"), std::string::npos);
}

TEST_F(traffic_server_test, bodies_of_any_content_type_pass_unchanged) {
  body_bytes_ = 10'000;
  for (const char* const type :
       {"Content-Type: multipart/form-data; boundary=x\r\n",
        "Content-Type: application/x-www-form-urlencoded\r\n", "Content-Encoding: gzip\r\n",
        "Accept-Encoding: gzip\r\n", "Range: bytes=1-2\r\n"}) {
    const std::string received = exchange(
        post("id" + std::to_string(std::string(type).size()), type, std::string(body_bytes_, 'x')));
    EXPECT_EQ(received.substr(received.size() - 5), "label") << type << received;
    EXPECT_NE(received.find("Catkintack-Outcome: answer"), std::string::npos) << type << received;
  }
}

}  // namespace
}  // namespace catkintack::daemon
