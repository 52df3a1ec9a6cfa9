#include "catkintack/limits/quota_pool.hpp"

#include <gtest/gtest.h>

namespace catkintack::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::instant start{seconds(1000)};
const base::address host_a{"10.0.0.1", 1};
const base::address host_b{"10.0.0.2", 1};

routes::customer_policy make_policy(double rate, std::uint32_t burst) {
  return {.id = base::customer_id("c"), .rate_per_second = rate, .burst = burst};
}

quota_pool make_pool(base::instant started_at = start) {
  return {{.authority_count = 3, .run = base::incarnation(7)}, started_at};
}

// Guards against a burst of each restarted authority (1.5: restarts are within the bound).
TEST(quota_pool, starts_with_a_part_of_the_excess_only) {
  quota_pool pool = make_pool();
  EXPECT_EQ(pool.take(make_policy(3, 300), 100, 0, start).granted, 5U);
}

TEST(quota_pool, small_cap_has_a_whole_token_at_the_start) {
  quota_pool pool = make_pool();
  EXPECT_EQ(pool.take(make_policy(3.2, 1), 1, 0, start).granted, 1U);
}

// Guards against a lowered cap that is exceeded by the tokens of the higher one.
TEST(quota_pool, lowered_cap_removes_tokens_above_it) {
  quota_pool pool = make_pool();
  pool.take(make_policy(300, 300), 0, 0, start);
  EXPECT_EQ(pool.take(make_policy(3, 30), 100, 0, start + seconds(60)).granted, 11U);
}

// Guards against refused callers that all return for the same token.
TEST(quota_pool, each_refusal_books_the_next_place_in_line) {
  quota_pool pool = make_pool();
  const routes::customer_policy policy = make_policy(30, 0);
  pool.take(policy, 10, 0, start);
  const base::duration first = pool.take(policy, 1, 0, start).retry_after;
  const base::duration second = pool.take(policy, 1, 0, start).retry_after;
  const base::duration after_others = pool.take(policy, 1, 3, start).retry_after;
  EXPECT_NEAR(base::to_seconds(second - first), 1.0 / 30, 0.001);
  EXPECT_NEAR(base::to_seconds(after_others - second), 4.0 / 30, 0.001);
}

// Guards against a host that uses its share while the authority still gives it out.
TEST(quota_pool, share_of_a_host_that_confirms_no_reply_is_reserved) {
  quota_pool pool = make_pool();
  base::instant now = start;
  quota_lease lease_a;
  quota_lease lease_b;
  for (; now < start + seconds(5); now += milliseconds(400)) {
    pool.on_message(host_a, lease_a, now);
    lease_a = pool.lease(host_a, now);
    pool.on_message(host_b, lease_b, now);
    lease_b = pool.lease(host_b, now);
  }
  EXPECT_EQ(lease_a.share, 0.5);
  EXPECT_EQ(pool.reserved(now), 0);
  // The messages of B arrive, but the replies do not reach it: it will be detached.
  for (; now < start + seconds(7); now += milliseconds(400)) {
    pool.on_message(host_a, lease_a, now);
    lease_a = pool.lease(host_a, now);
    pool.on_message(host_b, lease_b, now);
    pool.lease(host_b, now);
  }
  EXPECT_EQ(pool.reserved(now), 0.5);
  EXPECT_EQ(pool.missing_count(), 1U);
  pool.on_leave(host_b);
  EXPECT_EQ(pool.reserved(now + milliseconds(200)), 0);
}

// Guards against an authority that restarts while hosts with a share are cut off.
TEST(quota_pool, restarted_authority_reserves_the_shares_of_hosts_it_has_not_heard_of) {
  quota_pool pool = make_pool();
  const quota_lease of_earlier_run{.run = base::incarnation(6), .share = 0.25, .host_count = 4};
  pool.on_message(host_a, of_earlier_run, start);
  const quota_lease lease = pool.lease(host_a, start);
  EXPECT_EQ(lease.share, 0.25);
  pool.on_message(host_a, lease, start + milliseconds(200));
  EXPECT_EQ(pool.reserved(start + milliseconds(400)), 0.75);
}

}  // namespace
}  // namespace catkintack::limits
