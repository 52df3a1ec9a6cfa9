#include "catkintack/delivery/handed_over_table.hpp"

#include <gtest/gtest.h>

namespace catkintack::delivery {
namespace {

TEST(handed_over_table, reports_not_run_only_when_complete) {
  handed_over_table table;
  hand_over_part part;
  part.oldest_epoch = 3;
  part.entries.push_back({base::request_id("ran"), 7, {outcome::answer, 200, nullptr, {}, {}}});
  table.add(part);
  EXPECT_EQ(table.find(base::request_id("ran"), 3, 7), handed_over_state::finished);
  EXPECT_EQ(table.find(base::request_id("ran"), 3, 8), handed_over_state::mismatched);
  EXPECT_EQ(table.find(base::request_id("other"), 3, 7), handed_over_state::unknown);
  part.entries.clear();
  part.last = true;
  table.add(part);
  EXPECT_EQ(table.find(base::request_id("other"), 3, 7), handed_over_state::not_run);
  EXPECT_EQ(table.find(base::request_id("other"), 2, 7), handed_over_state::unknown);
}

}  // namespace
}  // namespace catkintack::delivery
