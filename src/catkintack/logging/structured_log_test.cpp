#include "catkintack/logging/structured_log.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace catkintack::logging {
namespace {

struct log_fixture {
  base::instant now{std::chrono::seconds(1)};
  std::vector<std::string> lines;
  structured_log log{[] { return base::wall_time(base::duration(5)); },
                     [this] { return now; },
                     [this](const std::string& line) { lines.push_back(line); },
                     {.lines_per_second = 10, .burst = 2}};
};

TEST(structured_log, quotes_values_with_spaces) {
  log_fixture fixture;
  fixture.log.write("call_ended", {{"request", "9c41"}, {"why", "it \"broke\""}, {"took_us", 12}});
  ASSERT_EQ(fixture.lines.size(), 1U);
  EXPECT_EQ(fixture.lines[0],
            R"(time_us=5 event=call_ended request=9c41 why="it \"broke\"" took_us=12)");
}

TEST(structured_log, values_with_line_breaks_cannot_forge_lines) {
  log_fixture fixture;
  fixture.log.write("e", {{"request", "a\nevent=forged"}});
  EXPECT_EQ(fixture.lines[0].find('\n'), std::string::npos);
}

TEST(structured_log, drops_and_counts_lines_above_the_rate_limit) {
  log_fixture fixture;
  for (int i = 0; i < 5; ++i) {
    fixture.log.write("e", {});
  }
  EXPECT_EQ(fixture.lines.size(), 2U);
  EXPECT_EQ(fixture.log.dropped(), 3U);
  fixture.now += std::chrono::milliseconds(100);
  fixture.log.write("e", {});
  ASSERT_EQ(fixture.lines.size(), 4U);
  EXPECT_EQ(fixture.lines[2], "time_us=5 event=log_lines_dropped count=3");
}

}  // namespace
}  // namespace catkintack::logging
