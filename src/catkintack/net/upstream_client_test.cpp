#include "catkintack/net/upstream_client.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <thread>

#include "free_address.hpp"
#include "raw_server.hpp"

namespace catkintack::net {
namespace {

using routing::attempt_result;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::raw_server;

const std::string counted =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServed-By: press-1\r\n\r\nlabel";
const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlab\r\n2\r\nel\r\n0\r\n\r\n";

class upstream_client_test : public ::testing::Test {
 protected:
  exchange_result get(const base::address& address, base::duration time_left = seconds(30)) {
    return client_.exchange({base::call_id(++last_call_), base::attempt_number(1)}, address,
                            {"GET", "/labels", {}, ""}, {clock_() + time_left, silence_});
  }

  /// Returns the result of an exchange in which the upstream sends the bytes and closes.
  attempt_result result_of(const std::string& bytes) {
    const raw_server server([&bytes](int descriptor) {
      raw_server::send(descriptor, bytes);
      return false;
    });
    return get(server.address()).result;
  }

  base::clock_hook clock_ = base::system_clock_hook();
  upstream_client client_{{milliseconds(250), 64, 1000}, clock_};
  std::atomic<std::uint64_t> last_call_ = 0;
  base::duration silence_ = seconds(30);
};

TEST_F(upstream_client_test, answer_truncated_at_any_byte_is_broken) {
  for (const std::string& response : {counted, chunked}) {
    for (std::size_t length = 0; length < response.size(); ++length) {
      EXPECT_EQ(result_of(response.substr(0, length)), attempt_result::broken) << length;
    }
    EXPECT_EQ(result_of(response), attempt_result::answered);
  }
}

TEST_F(upstream_client_test, answer_without_valid_length_is_broken) {
  EXPECT_EQ(result_of("HTTP/1.1 200 OK\r\n\r\nlabel"), attempt_result::broken);
  EXPECT_EQ(result_of("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nlabel"), attempt_result::broken);
  EXPECT_EQ(result_of("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nlabel"),
            attempt_result::broken);
  EXPECT_EQ(result_of("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            attempt_result::broken);
  EXPECT_EQ(result_of("nonsense\r\n\r\n"), attempt_result::broken);
}

TEST_F(upstream_client_test, answer_over_the_limit_is_broken) {
  EXPECT_EQ(result_of("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x')),
            attempt_result::broken);
}

TEST_F(upstream_client_test, endless_answer_ends_at_the_deadline) {
  const raw_server server([](int descriptor) {
    while (raw_server::send(descriptor, "HTTP/1.1 200 OK\r\n") &&
           raw_server::send(descriptor, "Drip: drop\r\n")) {
    }
    return false;
  });
  const auto result = get(server.address(), milliseconds(50)).result;
  EXPECT_TRUE(result == attempt_result::timed_out || result == attempt_result::broken);
}

TEST_F(upstream_client_test, silent_upstream_times_out) {
  const raw_server server([](int) { return true; });
  EXPECT_EQ(get(server.address(), milliseconds(20)).result, attempt_result::timed_out);
}

// The server answers the third request, on an old connection, only after a new connection is
// opened.
TEST_F(upstream_client_test, silence_on_an_old_connection_retires_all_old_connections) {
  std::atomic<int> requests = 0;
  const raw_server* upstream = nullptr;
  const raw_server server([&](int descriptor) {
    const int number = ++requests;
    const int wanted = number <= 2 ? 2 : 3;
    while (number <= 3 && upstream->connections() < wanted) {
      std::this_thread::yield();
    }
    return raw_server::send(descriptor, counted);
  });
  upstream = &server;
  std::thread other([&] { get(server.address()); });
  get(server.address());
  other.join();
  silence_ = milliseconds(1);
  std::atomic<bool> ended = false;
  std::thread waiting([&] {
    EXPECT_EQ(get(server.address()).result, attempt_result::answered);
    ended = true;
  });
  while (requests < 3) {
    std::this_thread::yield();
  }
  while (!ended) {
    EXPECT_EQ(get(server.address()).result, attempt_result::answered);
  }
  waiting.join();
  EXPECT_GE(server.connections(), 3);
}

TEST_F(upstream_client_test, connection_is_reused_after_a_complete_exchange) {
  const raw_server server([](int descriptor) { return raw_server::send(descriptor, counted); });
  for (int turn = 0; turn < 3; ++turn) {
    const auto end = get(server.address());
    ASSERT_EQ(end.result, attempt_result::answered);
    EXPECT_EQ(end.answer->body, "label");
  }
  EXPECT_EQ(server.connections(), 1);
}

TEST_F(upstream_client_test, connection_with_surplus_bytes_is_not_reused) {
  const raw_server server([](int descriptor) {
    return raw_server::send(descriptor,
                            counted + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
  });
  for (int turn = 0; turn < 3; ++turn) {
    EXPECT_EQ(get(server.address()).answer->body, "label");
  }
  EXPECT_EQ(server.connections(), 3);
}

// Guards against a copy of a refusal that is taken for the refusal of the next request, which may
// run (incident 16).
TEST_F(upstream_client_test, repeated_refusal_is_not_taken_for_that_of_the_next_request) {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Outcome: not_run\r\nContent-Length: "
      "0\r\n\r\n";
  std::map<int, int> requests;  // Of each connection.
  std::atomic<int> total = 0;
  const raw_server server([&](int descriptor) {
    if (++total == 1) {
      ++requests[descriptor];
      return raw_server::send(descriptor, refusal);
    }
    return raw_server::send(descriptor, (requests[descriptor] > 0 ? refusal : "") + counted);
  });
  EXPECT_EQ(get(server.address()).result, attempt_result::refused);
  EXPECT_EQ(get(server.address()).result, attempt_result::answered);
}

TEST_F(upstream_client_test, connection_closed_by_the_upstream_is_replaced) {
  const raw_server server([](int descriptor) {
    raw_server::send(descriptor, counted);
    return false;
  });
  for (int turn = 0; turn < 3; ++turn) {
    const auto end = get(server.address());
    // The close may arrive after the idle check; the request may then have run.
    EXPECT_TRUE(end.result == attempt_result::answered || end.result == attempt_result::broken);
  }
}

TEST_F(upstream_client_test, request_is_not_sent_without_connection_or_past_deadline) {
  EXPECT_EQ(get(tests::free_address()).result, attempt_result::not_sent);
  const raw_server server([](int descriptor) { return raw_server::send(descriptor, counted); });
  EXPECT_EQ(get(server.address(), seconds(0)).result, attempt_result::not_sent);
  EXPECT_EQ(server.connections(), 0);
}

TEST_F(upstream_client_test, cancelled_exchange_reports_cancelled) {
  upstream_client* const client = &client_;
  const raw_server server([client](int) {
    client->cancel({base::call_id(1), base::attempt_number(1)});
    return true;
  });
  EXPECT_EQ(get(server.address()).result, attempt_result::cancelled);
}

}  // namespace
}  // namespace catkintack::net
