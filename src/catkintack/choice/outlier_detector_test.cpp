#include "catkintack/choice/outlier_detector.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

TEST(grey_upstream, repeated_failures_keep_it_back_longer) {
  outlier_detector known({.base_duration = milliseconds(100), .max_duration = seconds(5)});
  known.on_failure(press, start);
  EXPECT_TRUE(known.is_outlier(press, start + milliseconds(99)));
  EXPECT_FALSE(known.is_outlier(press, start + milliseconds(100)));
  known.on_failure(press, start);
  EXPECT_TRUE(known.is_outlier(press, start + milliseconds(199)));
}

TEST(grey_upstream, suspicion_has_an_end) {
  outlier_detector known({.base_duration = milliseconds(100), .max_duration = seconds(1)});
  for (int i = 0; i < 50; ++i) {
    known.on_failure(press, start);
  }
  EXPECT_FALSE(known.is_outlier(press, start + seconds(1)));
}

TEST(grey_upstream, good_answers_restore_trust) {
  outlier_detector known;
  known.on_failure(press, start);
  known.on_success(press);
  EXPECT_FALSE(known.is_outlier(press, start));
}

}  // namespace
}  // namespace catkintack::choice
