#include "catkintack/control/retry_pause.hpp"

#include <gtest/gtest.h>

namespace catkintack::control {
namespace {

using std::chrono::milliseconds;

constexpr retry_span span{.first = milliseconds(100), .longest = milliseconds(1000)};
const base::random_hook least = [] { return std::uint64_t{0}; };

TEST(retry_pause, doubles_up_to_its_bound) {
  EXPECT_EQ(retry_pause(1, span, least), milliseconds(50));
  EXPECT_EQ(retry_pause(2, span, least), milliseconds(100));
  EXPECT_EQ(retry_pause(4, span, least), milliseconds(400));
  EXPECT_EQ(retry_pause(5, span, least), milliseconds(500));
  EXPECT_EQ(retry_pause(500, span, least), milliseconds(500));
}

TEST(retry_pause, half_of_it_is_random) {
  const base::random_hook most = [] { return std::uint64_t{50'000}; };
  EXPECT_EQ(retry_pause(1, span, most), milliseconds(100));
}

TEST(retry_pause, never_failed_counts_as_once) {
  EXPECT_EQ(retry_pause(0, span, least), retry_pause(1, span, least));
}

}  // namespace
}  // namespace catkintack::control
