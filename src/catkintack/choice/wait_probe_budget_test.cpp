#include "catkintack/choice/wait_probe_budget.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

TEST(wait_probe_budget, probes_of_waiting_calls_stay_within_a_multiple_of_the_calls) {
  const wait_probe_options options{.per_call = 4, .max_balance = 40, .start_balance = 8};
  wait_probe_budget budget(options);
  std::size_t probes = 0;
  constexpr std::size_t calls = 1000;
  for (std::size_t i = 0; i < calls; ++i) {
    budget.on_call();
    while (budget.can_spend()) {
      budget.spend(1);
      ++probes;
    }
  }
  EXPECT_LE(probes, calls * 4 + 8);
}

TEST(wait_probe_budget, balance_is_bounded_and_leaves_no_debt) {
  wait_probe_budget budget({.per_call = 4, .max_balance = 12, .start_balance = 0});
  for (int i = 0; i < 100; ++i) {
    budget.on_call();
  }
  budget.spend(20);
  EXPECT_FALSE(budget.can_spend());
  budget.on_call();
  EXPECT_TRUE(budget.can_spend());
}

}  // namespace
}  // namespace catkintack::choice
