// Upstreams that send an earlier refusal once more on a connection that is kept open.
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

struct refusal_case {
  const char* name;
  const char* head;
  bool names_request;  ///< The refusal has the request's id.

  /// Keeps addresses out of the test names that ctest lists.
  friend std::ostream& operator<<(std::ostream& out, const refusal_case& one) {
    return out << one.name;
  }
};

std::string refusal_of(const refusal_case& one, const std::string& id) {
  return std::string(one.head) +
         (one.names_request ? "Catkintack-Request-Id: " + id + "\r\n" : "") +
         "Content-Length: 0\r\n\r\n";
}

class repeated_refusal : public testing::TestWithParam<refusal_case> {
 protected:
  repeated_refusal() {
    world_.set_route(delivery_kind::at_most_once);
    upstream_.repeats_refusals = true;
  }

  serving_fixture world_;
  tests::scripted_upstream& upstream_ =
      world_.add("a", [](const received_request& request) -> scripted_reply {
        const std::string id(request["Catkintack-Request-Id"]);
        return {.bytes = id == "refused" ? refusal_of(GetParam(), id)
                                         : valid_response(request, "own answer")};
      });
};

// Guards against "not run" for a call that its upstream runs (incident 16).
TEST_P(repeated_refusal, is_not_taken_for_the_refusal_of_a_later_call) {
  scripted_caller caller(world_);
  caller.get("refused");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  for (const char* id : {"one", "two"}) {
    caller.received_bytes.clear();
    caller.get(id);
    ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
    EXPECT_TRUE(caller.wait_for("own answer")) << caller.received_bytes;
  }
  EXPECT_EQ(upstream_.received.size(), 3U);
}

// Guards against a second run of a call at another upstream (incident 16).
TEST_P(repeated_refusal, does_not_send_a_later_call_to_a_second_upstream) {
  scripted_caller caller(world_);
  caller.get("refused");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  world_.fill_repeat_budget();
  auto& other = world_.add("b", [](const received_request& request) -> scripted_reply {
    return {.bytes = valid_response(request, "own answer")};
  });
  other.load = "0,0,2,900";  // So that the other one is chosen first.
  caller.received_bytes.clear();
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("own answer")) << caller.received_bytes;
  EXPECT_EQ(upstream_.received.size() + other.received.size(), 2U);
}

// Guards against taking the copy for the refusal of a call that has no id itself (incident 16).
TEST_P(repeated_refusal, is_not_taken_for_the_refusal_of_a_call_without_an_id) {
  scripted_caller caller(world_);
  caller.get("refused");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  caller.received_bytes.clear();
  caller.send("GET /p/x HTTP/1.1\r\nHost: a.example\r\n\r\n");
  ASSERT_TRUE(caller.wait_for("\r\n\r\n"));
  EXPECT_FALSE(caller.received_bytes.starts_with("HTTP/1.1 503")) << caller.received_bytes;
}

// Guards against a refused probe whose copy is taken for the refusal of a call (incident 16).
TEST_P(repeated_refusal, of_a_probe_is_not_taken_for_that_of_a_call) {
  upstream_.probe_reply =
      scripted_reply{.bytes = std::string(GetParam().head) +
                              "Catkintack-Upstream: a\r\nCatkintack-Load: 0,0,2,100\r\n"
                              "Content-Length: 0\r\n\r\n"};
  scripted_caller caller(world_);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("own answer")) << caller.received_bytes;
  EXPECT_EQ(upstream_.received.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    kinds,
    repeated_refusal,
    testing::Values(
        refusal_case{"full_with_id",
                     "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n", true},
        refusal_case{"full_without_id",
                     "HTTP/1.1 503 Service Unavailable\r\nCatkintack-Not-Run: 1\r\n", false},
        refusal_case{"misdirected_with_id", "HTTP/1.1 421 Misdirected Request\r\n", true},
        refusal_case{"misdirected_without_id", "HTTP/1.1 421 Misdirected Request\r\n", false}),
    [](const auto& one) { return one.param.name; });

}  // namespace
}  // namespace catkintack::serving
