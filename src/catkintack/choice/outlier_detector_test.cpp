#include "catkintack/choice/outlier_detector.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

TEST(outlier_detector, repeated_failures_extend_the_outlier_period) {
  outlier_detector detector({.base_duration = milliseconds(100), .max_duration = seconds(5)});
  detector.on_failure(press, start);
  EXPECT_TRUE(detector.is_outlier(press, start + milliseconds(99)));
  EXPECT_FALSE(detector.is_outlier(press, start + milliseconds(100)));
  detector.on_failure(press, start);
  EXPECT_TRUE(detector.is_outlier(press, start + milliseconds(199)));
}

TEST(outlier_detector, outlier_period_is_bounded) {
  outlier_detector detector({.base_duration = milliseconds(100), .max_duration = seconds(1)});
  for (int i = 0; i < 50; ++i) {
    detector.on_failure(press, start);
  }
  EXPECT_FALSE(detector.is_outlier(press, start + seconds(1)));
}

TEST(outlier_detector, successful_responses_end_the_outlier_period) {
  outlier_detector detector;
  detector.on_failure(press, start);
  detector.on_success(press);
  EXPECT_FALSE(detector.is_outlier(press, start));
}

}  // namespace
}  // namespace catkintack::choice
