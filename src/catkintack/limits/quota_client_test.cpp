#include "catkintack/limits/quota_client.hpp"

#include <gtest/gtest.h>

namespace catkintack::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const routes::customer_policy policy{.id = base::customer_id("c"),
                                     .rate_per_second = 10,
                                     .burst = 10};
const quota_lease lease{.run = base::incarnation(1), .share = 0.5, .host_count = 2};

quota_verdict verdict_on(quota_client& client, quota_client::ticket call) {
  const auto verdict = client.take_verdict(call);
  EXPECT_TRUE(verdict.has_value());
  return verdict.value_or(quota_verdict{});
}

/// @brief A host with two authorities that answered after 2 ms and 12 ms.
struct attached_client {
  attached_client() {
    now += milliseconds(2);
    client.on_lease(0, now - milliseconds(2), lease, now);
    client.on_lease(1, now - milliseconds(12), lease, now);
  }
  std::vector<quota_request> advance() { return client.advance(policy.id, now); }

  base::instant now{seconds(1000)};
  quota_client client{{.authority_count = 2}, base::seeded_random_hook(1)};
};

TEST(quota_client, asks_the_fastest_authority_for_all_waiting_calls) {
  attached_client host;
  const auto first = host.client.submit(policy, host.now);
  const auto second = host.client.submit(policy, host.now);
  const auto requests = host.advance();
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].authority, 0U);
  EXPECT_EQ(requests[0].wanted, 2U);
  host.client.on_grant(0, policy.id, host.now, {.granted = 2}, host.now + milliseconds(2));
  EXPECT_TRUE(host.advance().empty());
  EXPECT_TRUE(verdict_on(host.client, first).admitted());
  EXPECT_TRUE(verdict_on(host.client, second).admitted());
}

TEST(quota_client, refuses_only_when_every_authority_refused) {
  attached_client host;
  const auto call = host.client.submit(policy, host.now);
  host.advance();
  host.client.on_grant(0, policy.id, host.now,
                       {.wait = milliseconds(90), .retry_after = milliseconds(300)}, host.now);
  const auto requests = host.advance();
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].authority, 1U);
  EXPECT_FALSE(host.client.take_verdict(call));
  host.client.on_grant(1, policy.id, host.now,
                       {.wait = milliseconds(90), .retry_after = milliseconds(200)}, host.now);
  EXPECT_TRUE(host.advance().empty());
  const quota_verdict verdict = verdict_on(host.client, call);
  EXPECT_EQ(verdict.outcome, quota_outcome::above_cap);
  EXPECT_EQ(verdict.authority, 1U);
  EXPECT_GE(verdict.retry_after, milliseconds(200));
  EXPECT_LE(verdict.retry_after, milliseconds(260));
}

// Guards against tokens that are used long after they were counted, and against repeated answers.
TEST(quota_client, late_and_repeated_answers_grant_nothing) {
  attached_client host;
  host.client.submit(policy, host.now);
  host.advance();
  const base::instant asked_at = host.now;
  host.client.on_grant(0, policy.id, asked_at, {.granted = 1}, host.now);
  host.client.on_grant(0, policy.id, asked_at, {.granted = 1}, host.now);
  host.now += milliseconds(251);
  const auto late = host.client.submit(policy, host.now);
  host.advance();
  EXPECT_FALSE(host.client.take_verdict(late));
  EXPECT_EQ(host.client.expired_tokens(), 2U);
}

TEST(quota_client, silent_authority_delays_a_call_by_its_timeout_only) {
  attached_client host;
  const auto call = host.client.submit(policy, host.now);
  host.advance();
  EXPECT_EQ(host.client.next_event(policy.id, host.now), host.now + milliseconds(20));
  host.now += milliseconds(20);
  const auto requests = host.advance();
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].authority, 1U);
  host.now += milliseconds(80);
  EXPECT_TRUE(host.advance().empty());
  EXPECT_EQ(verdict_on(host.client, call).outcome, quota_outcome::no_authority);
}

TEST(quota_client, customer_that_no_authority_knows_is_unavailable) {
  attached_client host;
  const auto call = host.client.submit(policy, host.now);
  for (const std::size_t authority : {0U, 1U}) {
    host.advance();
    host.client.on_unknown(authority, policy.id, host.now, host.now);
  }
  host.advance();
  EXPECT_EQ(verdict_on(host.client, call).outcome, quota_outcome::unknown_customer);
}

// Guards against a restarted host that takes a share it cannot know.
TEST(quota_client, host_without_any_reply_has_no_share) {
  quota_client client({.authority_count = 1}, base::seeded_random_hook(1));
  const base::instant now{seconds(1000)};
  const auto call = client.submit(policy, now);
  client.advance(policy.id, now);
  client.advance(policy.id, now + milliseconds(240));
  EXPECT_EQ(verdict_on(client, call).outcome, quota_outcome::no_authority);
  EXPECT_FALSE(client.detached(now + seconds(10)));
}

// Guards against a full share in addition to what the authorities gave out just before.
TEST(quota_client, detached_share_begins_empty) {
  attached_client host;
  host.now += milliseconds(1501);
  ASSERT_TRUE(host.client.detached(host.now));
  const auto first = host.client.submit(policy, host.now);
  host.advance();
  EXPECT_EQ(verdict_on(host.client, first).outcome, quota_outcome::above_share);
  host.now += seconds(2);
  const auto later = host.client.submit(policy, host.now);
  host.advance();
  EXPECT_EQ(verdict_on(host.client, later).outcome, quota_outcome::granted_detached);
}

}  // namespace
}  // namespace catkintack::limits
