#include "catkintack/logging/structured_log.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace catkintack::logging {
namespace {

struct log_world {
  base::instant now{std::chrono::seconds(1)};
  std::vector<std::string> lines;
  structured_log log{[] { return base::wall_time(base::duration(5)); },
                     [this] { return now; },
                     [this](const std::string& line) { lines.push_back(line); },
                     {.lines_per_second = 10, .burst = 2}};
};

TEST(structured_log, values_with_spaces_are_quoted) {
  log_world world;
  world.log.write("call_ended", {{"request", "9c41"}, {"why", "it \"broke\""}, {"took_us", 12}});
  ASSERT_EQ(world.lines.size(), 1U);
  EXPECT_EQ(world.lines[0],
            R"(time_us=5 event=call_ended request=9c41 why="it \"broke\"" took_us=12)");
}

TEST(structured_log, line_breaks_of_a_caller_do_not_forge_lines) {
  log_world world;
  world.log.write("e", {{"request", "a\nevent=forged"}});
  EXPECT_EQ(world.lines[0].find('\n'), std::string::npos);
}

TEST(structured_log, flood_is_cut_and_counted) {
  log_world world;
  for (int i = 0; i < 5; ++i) {
    world.log.write("e", {});
  }
  EXPECT_EQ(world.lines.size(), 2U);
  EXPECT_EQ(world.log.dropped(), 3U);
  world.now += std::chrono::milliseconds(100);
  world.log.write("e", {});
  ASSERT_EQ(world.lines.size(), 4U);
  EXPECT_EQ(world.lines[2], "time_us=5 event=log_lines_dropped count=3");
}

}  // namespace
}  // namespace catkintack::logging
