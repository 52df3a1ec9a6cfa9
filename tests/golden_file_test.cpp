#include "golden_file.hpp"

#include <gtest/gtest.h>

namespace catkintack::tests {
namespace {

TEST(golden_file, shows_the_first_differing_lines_with_context) {
  EXPECT_EQ(first_difference("a\nb\nc\nd\ne\nf\n", "a\nb\nc\nd\nX\nf\n"),
            "@@ line 5\n a\n b\n c\n d\n-e\n+X\n f\n");
}

TEST(golden_file, shows_lines_that_are_missing_or_new) {
  EXPECT_EQ(first_difference("a\nb\n", "a\n"), "@@ line 2\n a\n-b\n");
  EXPECT_EQ(first_difference("", "a\n"), "@@ line 1\n+a\n");
}

TEST(golden_file, shows_a_missing_newline) {
  EXPECT_EQ(first_difference("a\n", "a"), "@@ line 2\n a\nonly the last line's end differs\n");
}

TEST(golden_file, shows_nothing_for_equal_texts) { EXPECT_EQ(first_difference("a\n", "a\n"), ""); }

}  // namespace
}  // namespace catkintack::tests
