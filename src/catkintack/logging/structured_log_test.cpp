#include "catkintack/logging/structured_log.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace catkintack::logging {
namespace {

struct log_fixture {
  base::instant now{std::chrono::seconds(1)};
  std::vector<std::string> lines;
  bool has_room = true;
  structured_log log{[] { return base::wall_time(base::duration(5)); },
                     [this] { return now; },
                     [this](const std::string& line) { take(line); },
                     {.lines_per_second = 10, .burst = 2}};

  void take(const std::string& line) {
    if (has_room) {
      lines.push_back(line);
    } else {
      log.count_dropped();
    }
  }
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

TEST(structured_log, reports_lines_that_the_sink_has_dropped_once_it_has_room) {
  log_fixture fixture;
  fixture.has_room = false;
  for (int i = 0; i < 4; ++i) {
    fixture.now += std::chrono::milliseconds(100);
    fixture.log.write("e", {});
  }
  EXPECT_EQ(fixture.log.dropped(), 4U);
  fixture.has_room = true;
  for (int i = 0; i < 2; ++i) {
    fixture.now += std::chrono::milliseconds(100);
    fixture.log.write("f", {});
  }
  EXPECT_EQ(fixture.lines, (std::vector<std::string>{"time_us=5 event=log_lines_dropped count=4",
                                                     "time_us=5 event=f", "time_us=5 event=f"}));
}

}  // namespace
}  // namespace catkintack::logging
