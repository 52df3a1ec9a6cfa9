#include "catkintack/serving/task.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <stdexcept>
#include <vector>

namespace catkintack::serving {
namespace {

struct task_fixture {
  asio::io_context io;
  std::vector<std::string> lines;
  logging::structured_log log{[] { return base::wall_time(); }, base::system_clock_hook(),
                              [this](const std::string& line) { lines.push_back(line); }};
};

asio::awaitable<void> fail() {
  throw std::runtime_error("no such socket");
  co_return;
}

// Guards against an error that ends the process, or a part of it without a trace.
TEST(task, failure_is_logged_and_the_process_goes_on) {
  task_fixture world;
  spawn_task(world.io.get_executor(), world.log, "probe", fail());
  EXPECT_NO_THROW(world.io.run());
  ASSERT_EQ(world.lines.size(), 1U);
  EXPECT_NE(world.lines.front().find("event=task_failed task=probe why=\"no such socket\""),
            std::string::npos)
      << world.lines.front();
}

TEST(task, service_is_started_again_after_a_failure) {
  task_fixture world;
  int starts = 0;
  spawn_service(
      world.io.get_executor(), world.log, "sync",
      [&]() -> asio::awaitable<void> {
        if (++starts < 4) {
          throw std::runtime_error("unexpected");
        }
        co_return;
      },
      base::duration(1));
  EXPECT_NO_THROW(world.io.run());
  EXPECT_EQ(starts, 4);
  EXPECT_EQ(world.lines.size(), 3U);
}

}  // namespace
}  // namespace catkintack::serving
