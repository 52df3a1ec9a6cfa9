#include "catkintack/limits/retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace catkintack::limits {
namespace {

constexpr base::duration long_time = std::chrono::seconds(60);
const base::service_id service("label-press");

TEST(retry_budget, caps_the_budget_that_a_caller_requests) {
  retry_budget budget({.max_extra_attempts = 4});
  EXPECT_EQ(budget.add_call(service, std::nullopt), 4U);
  EXPECT_EQ(budget.add_call(service, 1), 1U);
  EXPECT_EQ(budget.add_call(service, 1'000'000), 4U);
}

TEST(retry_budget, refuses_retries_when_the_service_has_no_tokens) {
  retry_budget budget({.ratio = 0.5, .burst = 2});
  std::uint32_t call = budget.add_call(service, std::nullopt);
  EXPECT_TRUE(budget.try_spend(service, failure_kind::refused, long_time, call));
  EXPECT_TRUE(budget.try_spend(service, failure_kind::refused, long_time, call));
  EXPECT_FALSE(budget.try_spend(service, failure_kind::refused, long_time, call));
  EXPECT_TRUE(budget.try_spend(service, failure_kind::not_sent, long_time, call));
  budget.add_call(service, std::nullopt);
  budget.add_call(service, std::nullopt);
  EXPECT_TRUE(budget.try_spend(service, failure_kind::refused, long_time, call));
}

TEST(retry_budget, does_not_retry_without_enough_time_left) {
  retry_budget budget;
  std::uint32_t call = budget.add_call(service, std::nullopt);
  budget.record_response_time(service, std::chrono::milliseconds(10));
  EXPECT_FALSE(
      budget.try_spend(service, failure_kind::refused, std::chrono::milliseconds(10), call));
  EXPECT_TRUE(
      budget.try_spend(service, failure_kind::refused, std::chrono::milliseconds(11), call));
}

/// A chain of gateways with one budget each. A predicate decides which attempts fail.
class chain {
 public:
  chain(std::size_t levels, retry_budget_options options)
      : levels_(levels, retry_budget(options)) {}

  /// @return Extra attempts of one call over all levels that may have run.
  template <class Fails>
  int run(const Fails& fails) {
    extra_ = 0;
    run_level(0, std::nullopt, fails);
    return extra_;
  }

 private:
  template <class Fails>
  bool run_level(std::size_t level,
                 std::optional<std::uint32_t> caller_budget,
                 const Fails& fails) {
    if (level == levels_.size()) {
      return true;
    }
    std::uint32_t left = levels_[level].add_call(service, caller_budget);
    while (true) {
      const bool below = run_level(level + 1, retry_budget::downstream_budget(left), fails);
      if (below && !fails(level)) {
        return true;
      }
      if (!levels_[level].try_spend(service, failure_kind::may_have_run, long_time, left)) {
        return false;
      }
      ++extra_;
    }
  }

  std::vector<retry_budget> levels_;
  int extra_ = 0;
};

RC_GTEST_PROP(retry_budget_property, extra_attempts_of_a_call_never_exceed_its_budget, ()) {
  const auto max_extra = *rc::gen::inRange<std::uint32_t>(0, 25);
  chain levels(*rc::gen::inRange<std::size_t>(1, 20),
               {.burst = 1000, .max_extra_attempts = max_extra});
  const auto percent = *rc::gen::inRange(0, 101);
  RC_ASSERT(levels.run([&](std::size_t) { return *rc::gen::inRange(0, 100) < percent; }) <=
            static_cast<int>(max_extra));
}

RC_GTEST_PROP(retry_budget_property, retries_of_a_service_stay_within_the_ratio, ()) {
  const retry_budget_options options{.ratio = 0.1, .burst = 5};
  retry_budget budget(options);
  double requests = 0;
  double retries = 0;
  for (int step = 0; step < 300; ++step) {
    std::uint32_t call = budget.add_call(service, std::nullopt);
    ++requests;
    const auto kind = *rc::gen::element(failure_kind::refused, failure_kind::may_have_run);
    while (*rc::gen::arbitrary<bool>() && budget.try_spend(service, kind, long_time, call)) {
      ++retries;
    }
    RC_ASSERT(retries <= options.burst + options.ratio * requests + 1e-6);
  }
}

TEST(retry_budget, nineteen_levels_with_one_failing_level_stay_within_the_budget) {
  constexpr std::size_t depth = 19;
  const retry_budget_options options;
  for (std::size_t failing = 0; failing < depth; ++failing) {
    chain levels(depth, options);
    EXPECT_LE(levels.run([&](std::size_t level) { return level == failing; }),
              static_cast<int>(options.max_extra_attempts));
  }
}

}  // namespace
}  // namespace catkintack::limits
