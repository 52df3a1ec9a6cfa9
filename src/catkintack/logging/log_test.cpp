#include "catkintack/logging/log.hpp"

#include <gtest/gtest.h>

namespace catkintack::logging {
namespace {

TEST(log, writes_structured_lines_unchanged_to_standard_output) {
  configure_structured_output();
  testing::internal::CaptureStdout();
  write_structured_line("time_us=5 event=started");
  EXPECT_EQ(testing::internal::GetCapturedStdout(), "time_us=5 event=started\n");
}

}  // namespace
}  // namespace catkintack::logging
