#include "catkintack/directory/departure_log.hpp"

#include <gtest/gtest.h>

namespace catkintack::directory {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};
constexpr base::incarnation first(1000);
constexpr base::incarnation second(2000);

TEST(departure_log, covers_an_incarnation_and_those_before_it) {
  departure_log departures;
  departures.record(press, first, departure_reason::entry_removed, start);
  EXPECT_TRUE(departures.departed(press, first));
  EXPECT_TRUE(departures.departed(press, base::incarnation(999)));
  EXPECT_FALSE(departures.departed(press, second));
  EXPECT_FALSE(departures.announced(press, first));
}

TEST(departure_log, announcement_is_final_for_an_incarnation) {
  departure_log departures;
  departures.record(press, first, departure_reason::announced, start);
  departures.record(press, first, departure_reason::entry_removed, start + seconds(1));
  EXPECT_TRUE(departures.announced(press, first));
  departures.record(press, second, departure_reason::entry_removed, start + seconds(2));
  EXPECT_FALSE(departures.announced(press, second));
  departures.record(press, first, departure_reason::announced, start + seconds(3));
  EXPECT_FALSE(departures.announced(press, second));
}

TEST(departure_log, forgets_after_the_retention) {
  departure_log departures(minutes(10));
  departures.record(press, first, departure_reason::announced, start);
  departures.expire(start + minutes(10) - seconds(1));
  EXPECT_TRUE(departures.departed(press, first));
  departures.expire(start + minutes(10));
  EXPECT_FALSE(departures.departed(press, first));
}

}  // namespace
}  // namespace catkintack::directory
