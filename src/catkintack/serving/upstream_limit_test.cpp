// Upstreams that name a limit for the requests of all hosts together.
#include <gtest/gtest.h>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::scripted_upstream;
using tests::serving_fixture;
using tests::valid_response;

scripted_reply limited_reply(const received_request& request) {
  std::string bytes = valid_response(request, "hello");
  bytes.insert(bytes.find("\r\n") + 2, "Catkintack-Limit: 2\r\n");
  return {.bytes = bytes};
}

/// @brief Gives a host with one authority a permit that can be used at once.
void grant_one_send(traffic_state& state, const base::upstream_id& id) {
  const base::instant now = state.clock();
  const auto authority = state.permits.ask(id, base::request_rate(2), now);
  EXPECT_EQ(authority, 0U);
  state.permits.on_granted(id, 0, now, base::duration(0));
}

/// @brief Hosts that share one upstream. Their clocks stand still, so that all calls fall into any
/// window, however short.
class limited_fleet {
 public:
  explicit limited_fleet(int host_count) {
    const base::instant now = base::system_clock_hook()();
    for (int i = 0; i < host_count; ++i) {
      hosts_.push_back(std::make_unique<serving_fixture>(
          [&](serving_options& options) {
            options.host = base::host_id("gw-" + std::to_string(i));
          },
          [now] { return now; }));
      hosts_.back()->set_route(delivery_kind::at_most_once);
    }
    upstream_ = &hosts_.front()->add("a", limited_reply);
    for (const auto& host : hosts_) {
      host->add_to_directory(*upstream_);
    }
  }

  /// @brief Makes one call through each host and waits for its answer.
  /// @return Whether all were answered.
  bool call_each_host() {
    bool answered = true;
    for (const auto& host : hosts_) {
      scripted_caller caller(*host);
      const std::string id = "call-" + std::to_string(++calls_);
      caller.get(id);
      answered =
          answered && run_until([&] {
            return caller.received_bytes.find("Catkintack-Request-Id: " + id) != std::string::npos;
          });
    }
    return answered;
  }

  const scripted_upstream& upstream() const { return *upstream_; }

 private:
  bool run_until(const std::function<bool()>& condition) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < give_up_at) {
      for (const auto& host : hosts_) {
        host->io.run_one_for(std::chrono::milliseconds(1));
      }
    }
    return condition();
  }

  std::vector<std::unique_ptr<serving_fixture>> hosts_;
  scripted_upstream* upstream_ = nullptr;
  int calls_ = 0;
};

// Guards against hosts that go on sending at their usual rate to an upstream that named a limit
// (incident 09).
TEST(upstream_limit, told_hosts_together_keep_to_the_limit_of_an_upstream) {
  limited_fleet fleet(4);
  ASSERT_TRUE(fleet.call_each_host());
  const std::size_t received_while_told = fleet.upstream().received.size();
  for (int round = 0; round < 10; ++round) {
    ASSERT_TRUE(fleet.call_each_host());
  }
  // One and a half times a limit of 2 a second, over a window of 4 s, and 5 more.
  constexpr std::size_t allowed = 17;
  EXPECT_LE(fleet.upstream().received.size() - received_while_told, allowed);
}

TEST(upstream_limit, call_goes_to_another_upstream_without_a_permit) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  auto& limited = world.add("a", limited_reply);
  directory::endpoint neighbour = world.state.upstreams.find(base::upstream_id("a"))->listed;
  neighbour.record.failure_domain = world.state.options.failure_domain;
  world.state.upstreams.upsert(neighbour, world.state.clock());
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("hello"));
  world.add("b", [](const received_request& request) -> scripted_reply {
    return {.bytes = valid_response(request, "other")};
  });
  std::vector<std::string> asked;
  world.state.request_permit = [&](const auto& id) { asked.push_back(id.value()); };
  const int probes = limited.probes;
  caller.get("two");
  ASSERT_TRUE(caller.wait_for("other"));
  EXPECT_EQ(limited.received.size(), 1U);
  EXPECT_EQ(limited.probes, probes);
  EXPECT_EQ(asked, std::vector<std::string>{"a"});
}

TEST(upstream_limit, permit_allows_one_call) {
  serving_fixture world([](serving_options& options) { options.permits.authority_count = 1; });
  world.set_route(delivery_kind::at_most_once);
  auto& limited = world.add("a", limited_reply);
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("Request-Id: one"));
  grant_one_send(world.state, base::upstream_id(limited.id));
  caller.get("two");
  ASSERT_TRUE(caller.wait_for("Request-Id: two"));
  caller.get("three");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  EXPECT_EQ(limited.received.size(), 2U);
}

TEST(upstream_limit, caller_is_told_when_to_return_if_all_upstreams_are_at_their_limits) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("a", limited_reply);
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("hello"));
  caller.get("two");
  ASSERT_TRUE(caller.wait_for("HTTP/1.1 503"));
  EXPECT_NE(caller.received_bytes.find("Retry-After: 5"), std::string::npos)
      << caller.received_bytes;
}

TEST(upstream_limit, success_without_the_header_ends_the_limit) {
  base::instant now = base::system_clock_hook()();
  serving_fixture world([](serving_options& options) { options.permits.authority_count = 1; },
                        [&] { return now; });
  world.set_route(delivery_kind::at_most_once);
  bool in_need = true;
  auto& upstream = world.add("a", [&](const received_request& request) -> scripted_reply {
    return in_need ? limited_reply(request)
                   : scripted_reply{.bytes = valid_response(request, "hello")};
  });
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(caller.wait_for("Request-Id: one"));
  in_need = false;
  now += std::chrono::seconds(2);
  grant_one_send(world.state, base::upstream_id(upstream.id));
  for (const std::string call : {"two", "three", "four"}) {
    caller.get(call);
    ASSERT_TRUE(caller.wait_for("Request-Id: " + call));
  }
  EXPECT_EQ(upstream.received.size(), 4U);
}

}  // namespace
}  // namespace catkintack::serving
