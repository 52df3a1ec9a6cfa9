#include "catkintack/control/retry_backoff.hpp"

#include <gtest/gtest.h>

namespace catkintack::control {
namespace {

using std::chrono::milliseconds;

constexpr backoff_bounds bounds{.initial = milliseconds(100), .max = milliseconds(1000)};
const base::random_hook min_random = [] { return std::uint64_t{0}; };

TEST(retry_backoff, doubles_up_to_the_maximum) {
  EXPECT_EQ(retry_backoff(1, bounds, min_random), milliseconds(50));
  EXPECT_EQ(retry_backoff(2, bounds, min_random), milliseconds(100));
  EXPECT_EQ(retry_backoff(4, bounds, min_random), milliseconds(400));
  EXPECT_EQ(retry_backoff(5, bounds, min_random), milliseconds(500));
  EXPECT_EQ(retry_backoff(500, bounds, min_random), milliseconds(500));
}

TEST(retry_backoff, half_of_the_backoff_is_random) {
  const base::random_hook max_random = [] { return std::uint64_t{50'000}; };
  EXPECT_EQ(retry_backoff(1, bounds, max_random), milliseconds(100));
}

TEST(retry_backoff, zero_failures_count_as_one) {
  EXPECT_EQ(retry_backoff(0, bounds, min_random), retry_backoff(1, bounds, min_random));
}

}  // namespace
}  // namespace catkintack::control
