#include "catkintack/limits/limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::limits {
namespace {

using std::chrono::seconds;

config::allowance make_allowance() {
  return {base::plan_id("gold"), base::service_id("scan-service"), 2, 2, 4};
}

TEST(limiter, refuses_above_the_rate_with_a_retry_delay) {
  limiter limits;
  const base::customer_id customer("mercato");
  const base::instant start{};
  EXPECT_TRUE(limits.admit(start, customer, make_allowance()).admitted);
  EXPECT_TRUE(limits.admit(start, customer, make_allowance()).admitted);
  const admission_decision refused = limits.admit(start, customer, make_allowance());
  EXPECT_FALSE(refused.admitted);
  EXPECT_EQ(refused.retry_after, std::chrono::milliseconds(500));
  EXPECT_TRUE(limits.admit(start + refused.retry_after, customer, make_allowance()).admitted);
}

TEST(limiter, limits_requests_in_flight) {
  limiter limits;
  const base::customer_id customer("mercato");
  config::allowance narrow = make_allowance();
  narrow.max_concurrent = 1;
  EXPECT_TRUE(limits.admit({}, customer, narrow).admitted);
  EXPECT_FALSE(limits.admit({}, customer, narrow).admitted);
  limits.release(customer, narrow.service);
  EXPECT_TRUE(limits.admit({}, customer, narrow).admitted);
}

TEST(limiter, a_lower_allowance_applies_from_the_next_request) {
  limiter limits;
  const base::customer_id customer("mercato");
  config::allowance entry = make_allowance();
  entry.burst = 100;
  EXPECT_TRUE(limits.admit({}, customer, entry).admitted);
  entry.burst = 1;
  entry.max_concurrent = 1;
  EXPECT_FALSE(limits.admit({}, customer, entry).admitted);
}

TEST(limiter, removes_idle_accounts_but_none_with_requests_in_flight) {
  limiter limits;
  const base::customer_id idle("idle");
  const base::customer_id busy("busy");
  limits.admit({}, idle, make_allowance());
  limits.admit({}, busy, make_allowance());
  limits.release(idle, make_allowance().service);
  limits.make_demand_report(base::instant(std::chrono::hours(1)));
  EXPECT_EQ(limits.account_count(), 1U);
  EXPECT_EQ(limits.in_flight(busy, make_allowance().service), 1U);
}

RC_GTEST_PROP(limiter_property, admitted_stays_within_rate_and_concurrency, ()) {
  constexpr std::uint32_t hosts = 4;
  limiter limits;
  limits.set_live_hosts(hosts);
  const base::customer_id customer("mercato");
  const config::allowance entry{base::plan_id("gold"), base::service_id("scan-service"), 40, 8, 16};
  base::instant now{};
  std::uint32_t in_flight = 0;
  std::uint32_t admitted = 0;
  for (int step = 0; step < 200; ++step) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
    if (*rc::gen::arbitrary<bool>() && in_flight > 0) {
      limits.release(customer, entry.service);
      --in_flight;
    } else if (limits.admit(now, customer, entry).admitted) {
      ++in_flight;
      ++admitted;
    }
    RC_ASSERT(limits.in_flight(customer, entry.service) == in_flight);
    RC_ASSERT(in_flight <= entry.max_concurrent / hosts);
    const double most = 8.0 / hosts + base::to_seconds(now.time_since_epoch()) * 40 / hosts;
    RC_ASSERT(admitted <= most + 1e-6);
  }
}

TEST(limiter, a_surplus_release_leaves_the_count_at_zero) {
  limiter limits;
  const base::customer_id customer("mercato");
  limits.admit({}, customer, make_allowance());
  limits.release(customer, make_allowance().service);
  limits.release(customer, make_allowance().service);
  EXPECT_EQ(limits.in_flight(customer, make_allowance().service), 0U);
}

}  // namespace
}  // namespace catkintack::limits
