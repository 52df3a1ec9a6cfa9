#include "catkintack/limits/limiter.hpp"

#include <gtest/gtest.h>

namespace catkintack::limits {
namespace {

using std::chrono::seconds;

config::allowance make_allowance() {
  return {base::plan_id("gold"), base::service_id("scan-service"), 2, 2, 4};
}

TEST(limiter, refuses_above_the_rate_and_says_when_to_come_back) {
  limiter limits;
  const base::customer_id customer("mercato");
  const base::instant start{};
  EXPECT_TRUE(limits.admit(start, customer, make_allowance()).admitted);
  EXPECT_TRUE(limits.admit(start, customer, make_allowance()).admitted);
  const admission refused = limits.admit(start, customer, make_allowance());
  EXPECT_FALSE(refused.admitted);
  EXPECT_EQ(refused.retry_after, std::chrono::milliseconds(500));
  EXPECT_TRUE(limits.admit(start + refused.retry_after, customer, make_allowance()).admitted);
}

TEST(limiter, bounds_requests_in_progress) {
  limiter limits;
  const base::customer_id customer("mercato");
  config::allowance narrow = make_allowance();
  narrow.max_concurrent = 1;
  EXPECT_TRUE(limits.admit({}, customer, narrow).admitted);
  EXPECT_FALSE(limits.admit({}, customer, narrow).admitted);
  limits.release(customer, narrow.service);
  EXPECT_TRUE(limits.admit({}, customer, narrow).admitted);
}

}  // namespace
}  // namespace catkintack::limits
