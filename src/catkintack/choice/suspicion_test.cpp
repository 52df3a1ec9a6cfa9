#include "catkintack/choice/suspicion.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

TEST(grey_upstream, repeated_failures_keep_it_back_longer) {
  suspicion known({.first_span = milliseconds(100), .longest_span = seconds(5)});
  known.on_failure(press, start);
  EXPECT_TRUE(known.suspects(press, start + milliseconds(99)));
  EXPECT_FALSE(known.suspects(press, start + milliseconds(100)));
  known.on_failure(press, start);
  EXPECT_TRUE(known.suspects(press, start + milliseconds(199)));
}

TEST(grey_upstream, suspicion_has_an_end) {
  suspicion known({.first_span = milliseconds(100), .longest_span = seconds(1)});
  for (int i = 0; i < 50; ++i) {
    known.on_failure(press, start);
  }
  EXPECT_FALSE(known.suspects(press, start + seconds(1)));
}

TEST(grey_upstream, good_answers_restore_trust) {
  suspicion known;
  known.on_failure(press, start);
  known.on_success(press);
  EXPECT_FALSE(known.suspects(press, start));
}

}  // namespace
}  // namespace catkintack::choice
