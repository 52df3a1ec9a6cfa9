#include "catkintack/choice/send_permits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};
constexpr base::request_rate limit(2.5);

send_permits make_permits(std::size_t authorities = 3) {
  return {{.authority_count = authorities}, base::seeded_random_hook(1)};
}

TEST(send_permits, permit_covers_one_send_from_its_start_on) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, limit, start);
  ASSERT_TRUE(authority);
  EXPECT_FALSE(permits.usable(press, start));
  ASSERT_TRUE(permits.on_granted(press, *authority, start, milliseconds(500)));
  EXPECT_FALSE(permits.take(press, start + milliseconds(499)));
  EXPECT_EQ(permits.next_chance(press, start), start + milliseconds(500));
  EXPECT_TRUE(permits.take(press, start + milliseconds(500)));
  EXPECT_FALSE(permits.take(press, start + milliseconds(500)));
}

TEST(send_permits, no_second_question_while_one_is_open_or_a_permit_is_in_hand) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, limit, start);
  EXPECT_FALSE(permits.ask(press, limit, start + milliseconds(100)));
  permits.on_granted(press, *authority, start, seconds(1));
  EXPECT_FALSE(permits.ask(press, limit, start + milliseconds(200)));
  EXPECT_TRUE(permits.ask(press, limit, start + seconds(3)));
}

// A host that was suspended must not use a permit whose time has passed.
TEST(send_permits, unused_permit_expires) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, limit, start);
  permits.on_granted(press, *authority, start, milliseconds(0));
  EXPECT_FALSE(permits.usable(press, start + seconds(2)));
  EXPECT_FALSE(permits.take(press, start + seconds(2)));
}

TEST(send_permits, repeated_or_late_answer_grants_nothing) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, limit, start);
  EXPECT_FALSE(permits.on_granted(press, *authority, start - milliseconds(1), milliseconds(0)));
  EXPECT_TRUE(permits.on_granted(press, *authority, start, milliseconds(0)));
  EXPECT_TRUE(permits.take(press, start));
  EXPECT_FALSE(permits.on_granted(press, *authority, start, milliseconds(0)));
  EXPECT_FALSE(permits.take(press, start));
}

TEST(send_permits, silent_authority_is_not_asked_for_a_while) {
  send_permits permits = make_permits(2);
  const auto silent = permits.ask(press, limit, start);
  const auto other = permits.ask(press, limit, start + milliseconds(400));
  ASSERT_TRUE(other);
  EXPECT_NE(*other, *silent);
  // The pause holds for questions about other upstreams too.
  const auto third = permits.ask(base::upstream_id("press-2"), limit, start + milliseconds(400));
  ASSERT_TRUE(third);
  EXPECT_NE(*third, *silent);
}

TEST(send_permits, refusing_authority_is_asked_again_after_its_wait) {
  send_permits permits = make_permits(1);
  const auto authority = permits.ask(press, limit, start);
  permits.on_refused(press, *authority, start, milliseconds(700));
  EXPECT_FALSE(permits.ask(press, limit, start + milliseconds(699)));
  const base::instant again = permits.next_chance(press, start);
  EXPECT_GE(again, start + milliseconds(700));
  EXPECT_LE(again, start + milliseconds(1100));
  EXPECT_TRUE(permits.ask(press, limit, again));
}

TEST(send_permits, without_authorities_nothing_is_permitted) {
  send_permits permits = make_permits(0);
  EXPECT_GT(permits.next_chance(press, start), start);
  EXPECT_FALSE(permits.ask(press, limit, start));
  EXPECT_FALSE(permits.usable(press, start));
  EXPECT_GT(permits.next_chance(press, start), start);
}

/// @brief Sends that a host with steady calls makes within a time.
int count_sends(send_permits& permits, base::request_rate of, base::duration span) {
  int sends = 0;
  for (base::duration passed{}; passed < span; passed += milliseconds(100)) {
    permits.ask(press, of, start + passed);
    sends += permits.take(press, start + passed) ? 1 : 0;
  }
  return sends;
}

// Guards against hosts that shun an upstream for good, as no send shows them that its limit ended.
TEST(send_permits, host_without_a_reachable_authority_sends_its_part_in_the_largest_fleet) {
  for (const std::size_t authorities : {0U, 3U}) {
    send_permits permits = make_permits(authorities);
    // 1,000 hosts share 2.5 requests a second: 18 an hour for one.
    const int sends = count_sends(permits, limit, std::chrono::hours(2));
    EXPECT_GE(sends, 6) << authorities;
    EXPECT_LE(sends, 36) << authorities;
  }
}

TEST(send_permits, nothing_is_sent_unattended_to_an_upstream_that_accepts_nothing) {
  send_permits permits = make_permits();
  EXPECT_EQ(count_sends(permits, base::request_rate(0), std::chrono::hours(2)), 0);
}

TEST(send_permits, host_that_gets_answers_does_not_send_unattended) {
  send_permits permits = make_permits(1);
  int sends = 0;
  for (base::instant now = start; now < start + std::chrono::hours(2); now += milliseconds(100)) {
    if (const auto authority = permits.ask(press, limit, now)) {
      permits.on_refused(press, *authority, now, seconds(1));
    }
    sends += permits.take(press, now) ? 1 : 0;
  }
  EXPECT_EQ(sends, 0);
}

// Permits given out at a higher rate than a cold upstream's would exceed its bound.
TEST(send_permits, permit_requested_before_a_return_to_cold_cannot_be_used) {
  send_permits permits = make_permits(1);
  ASSERT_TRUE(permits.ask(press, limit, start));
  ASSERT_TRUE(permits.on_granted(press, 0, start, milliseconds(0)));
  EXPECT_TRUE(permits.usable(press, start));
  EXPECT_FALSE(permits.usable(press, start, limit_cause::warming_up));
  ASSERT_TRUE(permits.ask(press, limit, start, limit_cause::warming_up));
  EXPECT_EQ(permits.requested_for_warm_up(), std::vector{press});
  ASSERT_TRUE(permits.on_granted(press, 0, start, milliseconds(0)));
  EXPECT_TRUE(permits.usable(press, start + milliseconds(500), limit_cause::warming_up));
  EXPECT_FALSE(permits.usable(press, start + milliseconds(501), limit_cause::warming_up));
}

// Guards against a fleet that crashes a cold upstream while no authority can be reached.
TEST(send_permits, a_thousand_hosts_without_authorities_stay_within_the_bound_of_a_cold_upstream) {
  for (const double rate : {3.4, 40.0}) {
    std::vector<send_permits> hosts;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
      hosts.emplace_back(permit_options{.authority_count = 3}, base::seeded_random_hook(seed));
    }
    std::vector<base::instant> sent;
    constexpr base::duration step = milliseconds(100);
    constexpr std::size_t asked_one_in = 5;
    std::size_t turn = 0;
    for (base::instant now = start; now < start + seconds(180); now += step) {
      for (std::size_t i = turn++ % asked_one_in; i < hosts.size(); i += asked_one_in) {
        (void)hosts[i].ask(press, base::request_rate(rate), now, limit_cause::warming_up);
        if (hosts[i].take(press, now, limit_cause::warming_up)) {
          sent.push_back(now);
        }
      }
    }
    EXPECT_GT(sent.size(), 0U);
    for (auto first = sent.begin(); first != sent.end(); ++first) {
      const auto last = std::ranges::lower_bound(first, sent.end(), *first + seconds(1));
      ASSERT_LE(static_cast<double>(last - first), rate * 1.5 + 8) << rate;
    }
  }
}

// Guards against a question to a host that is no authority any more and keeps others from being
// asked.
TEST(send_permits, replaced_authority_is_asked_at_once) {
  send_permits permits = make_permits(1);
  const auto former = permits.ask(press, limit, start);
  ASSERT_TRUE(former);
  permits.replace_authority(*former);
  const base::instant later = start + milliseconds(1);
  ASSERT_TRUE(permits.ask(press, limit, later));
  EXPECT_FALSE(permits.on_granted(press, *former, start, milliseconds(0)));
  permits.on_refused(press, 0, later, seconds(9));
  permits.replace_authority(0);
  EXPECT_TRUE(permits.ask(press, limit, later + milliseconds(1)));
}

TEST(send_permits, number_of_authorities_can_change) {
  send_permits permits = make_permits(0);
  EXPECT_FALSE(permits.ask(press, limit, start));
  EXPECT_GT(permits.next_chance(press, start), start);
  permits.set_authority_count(3);
  EXPECT_EQ(permits.next_chance(press, start), start);
  ASSERT_TRUE(permits.ask(press, limit, start));
  permits.set_authority_count(0);
  EXPECT_FALSE(permits.ask(press, limit, start + seconds(1)));
  permits.set_authority_count(2);
  EXPECT_TRUE(permits.ask(press, limit, start + seconds(2)));
}

}  // namespace
}  // namespace catkintack::choice
