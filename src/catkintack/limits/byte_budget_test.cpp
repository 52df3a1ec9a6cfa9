#include "catkintack/limits/byte_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::instant start{seconds(100)};

TEST(byte_budget, allows_only_exchanges_that_the_tokens_cover) {
  byte_budget budget(1000, 3000);
  EXPECT_TRUE(budget.can_spend(3000, start));
  budget.spend(2500, start);
  EXPECT_FALSE(budget.can_spend(1000, start));
  EXPECT_TRUE(budget.can_spend(1000, start + milliseconds(500)));
}

TEST(byte_budget, negative_balance_is_refilled_first) {
  byte_budget budget(1000, 3000);
  budget.spend(5000, start);
  EXPECT_FALSE(budget.can_spend(1, start + seconds(2)));
  EXPECT_TRUE(budget.can_spend(1000, start + seconds(3)));
}

RC_GTEST_PROP(byte_budget, spending_never_exceeds_rate_and_burst, ()) {
  byte_budget budget(1000, 3000);
  base::instant now = start;
  double spent = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
      rc::gen::pair(rc::gen::inRange(0U, 2000U), rc::gen::inRange(0U, 4000U)));
  for (const auto& [wait_ms, bytes] : steps) {
    now += milliseconds(wait_ms);
    if (budget.can_spend(bytes, now)) {
      budget.spend(bytes, now);
      spent += bytes;
    }
    RC_ASSERT(spent <= 3000 + 1000 * base::to_seconds(now - start) + 1);
  }
}

}  // namespace
}  // namespace catkintack::limits
