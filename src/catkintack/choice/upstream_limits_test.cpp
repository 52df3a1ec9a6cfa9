#include "catkintack/choice/upstream_limits.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

TEST(upstream_limits, limit_holds_until_an_answer_without_one) {
  upstream_limits limits;
  EXPECT_TRUE(limits.empty());
  EXPECT_TRUE(limits.on_named(press, base::request_rate(2.5), start));
  EXPECT_EQ(limits.limit_of(press), base::request_rate(2.5));
  EXPECT_TRUE(limits.on_not_named(press, start + seconds(5)));
  EXPECT_FALSE(limits.limit_of(press));
  EXPECT_FALSE(limits.on_not_named(press, start + seconds(6)));
}

TEST(upstream_limits, answer_that_may_have_begun_before_the_limit_does_not_end_it) {
  upstream_limits limits;
  limits.on_named(press, base::request_rate(2.5), start);
  EXPECT_FALSE(limits.on_not_named(press, start + milliseconds(900)));
  limits.on_report(press, {.limit = base::request_rate(2), .version = 5}, start + seconds(4));
  EXPECT_FALSE(limits.on_not_named(press, start + milliseconds(4500)));
  EXPECT_EQ(limits.limit_of(press), base::request_rate(2));
}

TEST(upstream_limits, slightly_different_values_are_used_but_not_reported) {
  upstream_limits limits;
  limits.on_named(press, base::request_rate(10), start);
  const std::uint64_t change = limits.last_change();
  EXPECT_FALSE(limits.on_named(press, base::request_rate(10.5), start + seconds(1)));
  EXPECT_EQ(limits.limit_of(press), base::request_rate(10.5));
  EXPECT_EQ(limits.last_change(), change);
  EXPECT_TRUE(limits.on_named(press, base::request_rate(11.5), start + seconds(2)));
}

// An upstream that names another value in each response must not cause a message to all hosts each
// time.
TEST(upstream_limits, quickly_changing_values_are_reported_now_and_then) {
  upstream_limits limits;
  int reported = 0;
  for (int i = 0; i < 100; ++i) {
    const base::request_rate limit(i % 2 == 0 ? 2 : 9);
    reported += limits.on_named(press, limit, start + milliseconds(100 * i)) ? 1 : 0;
    EXPECT_EQ(limits.limit_of(press), limit);
  }
  EXPECT_LE(reported, 6);
}

TEST(upstream_limits, change_from_nothing_allowed_counts) {
  upstream_limits limits;
  limits.on_named(press, base::request_rate(0), start);
  EXPECT_TRUE(limits.on_named(press, base::request_rate(0.1), start + seconds(2)));
}

TEST(upstream_limits, reports_count_by_version_and_then_by_the_lower_limit) {
  upstream_limits limits;
  limits.on_named(press, base::request_rate(3), start);
  EXPECT_FALSE(limits.on_report(press, {.version = 1}, start));
  EXPECT_FALSE(limits.on_report(press, limits.state_of(press), start));
  EXPECT_TRUE(limits.on_report(press, {.limit = base::request_rate(2), .version = 1}, start));
  EXPECT_TRUE(limits.on_report(press, {.version = 2}, start));
  EXPECT_FALSE(limits.limit_of(press));
}

TEST(upstream_limits, changes_since_a_number_include_ended_limits) {
  upstream_limits limits;
  limits.on_named(press, base::request_rate(2), start);
  limits.on_named(base::upstream_id("press-2"), base::request_rate(3), start);
  const std::uint64_t change = limits.last_change();
  EXPECT_EQ(limits.changed_since(0).size(), 2U);
  EXPECT_TRUE(limits.changed_since(change).empty());
  limits.on_not_named(press, start + seconds(1));
  EXPECT_EQ(limits.changed_since(change), std::vector{press});
}

TEST(upstream_limits, forgotten_upstream_has_no_limit) {
  upstream_limits limits;
  limits.on_named(press, base::request_rate(2), start);
  limits.forget(press);
  EXPECT_FALSE(limits.limit_of(press));
  EXPECT_FALSE(limits.on_not_named(press, start + seconds(2)));
}

// Guards against hosts that repeat two changes to each other without end: each relayed a change
// with its age, which the time on its way made look newer than the other one.
RC_GTEST_PROP(upstream_limits, changes_spread_to_all_hosts_and_come_to_rest, ()) {
  constexpr std::size_t host_count = 5;
  struct message {
    std::size_t target;
    limit_state state;
  };
  std::vector<upstream_limits> hosts(host_count);
  std::deque<message> messages;
  base::instant now = start;
  std::size_t sent = 0;
  const auto spread = [&](std::size_t from) {
    for (std::size_t i = 0; i < host_count; ++i) {
      if (i != from) {
        messages.push_back({i, hosts[from].state_of(press)});
        ++sent;
      }
    }
  };
  const auto deliver = [&] {
    const auto at = *rc::gen::inRange<std::size_t>(0, messages.size());
    const message next = messages[at];
    messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(at));
    now += milliseconds(10);
    if (hosts[next.target].on_report(press, next.state, now)) {
      spread(next.target);
    }
  };
  const int observations = *rc::gen::inRange(1, 12);
  for (int i = 0; i < observations; ++i) {
    const auto host = *rc::gen::inRange<std::size_t>(0, host_count);
    now += milliseconds(*rc::gen::inRange(0, 3000));
    const bool changed =
        *rc::gen::arbitrary<bool>()
            ? hosts[host].on_named(press, base::request_rate(*rc::gen::inRange(1, 5)), now)
            : hosts[host].on_not_named(press, now);
    if (changed) {
      spread(host);
    }
    for (int left = *rc::gen::inRange(0, 8); left > 0 && !messages.empty(); --left) {
      deliver();
    }
  }
  const std::size_t bound = static_cast<std::size_t>(observations) * host_count * host_count * 4;
  while (!messages.empty() && sent <= bound) {
    deliver();
  }
  RC_ASSERT(messages.empty());
  for (const upstream_limits& host : hosts) {
    RC_ASSERT(host.state_of(press) == hosts.front().state_of(press));
  }
}

}  // namespace
}  // namespace catkintack::choice
