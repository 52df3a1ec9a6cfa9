#include "catkintack/control/change_log.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

change_batch step(std::uint64_t after, std::uint64_t revision) {
  change_batch result{.after = after, .revision = revision};
  result.removed = {base::upstream_id(std::to_string(revision))};
  return result;
}

TEST(change_log, host_is_told_the_steps_that_it_misses) {
  change_log log;
  log.restart(10);
  log.add(step(10, 12));
  log.add(step(12, 15));
  const auto all = log.since(10).value_or(std::vector<change_batch>());
  ASSERT_EQ(all.size(), 2U);
  EXPECT_EQ(all.back().revision, 15U);
  EXPECT_EQ(log.since(12).value_or(all).size(), 1U);
  EXPECT_EQ(log.since(15).value_or(all).size(), 0U);
}

TEST(change_log, host_that_is_too_far_behind_is_told_of_no_steps) {
  change_log log(2);
  log.restart(10);
  log.add(step(10, 11));
  log.add(step(11, 12));
  log.add(step(12, 13));
  EXPECT_FALSE(log.since(10));
  EXPECT_TRUE(log.since(11));
}

TEST(change_log, only_the_newest_table_is_kept) {
  change_log log;
  change_batch first = step(0, 1);
  first.table = routes::route_table_builder(base::list_version(1)).build();
  change_batch second = step(1, 2);
  second.table = routes::route_table_builder(base::list_version(2)).build();
  log.add(first);
  log.add(second);
  const auto all = log.since(0).value_or(std::vector<change_batch>());
  ASSERT_EQ(all.size(), 2U);
  EXPECT_FALSE(all.front().table);
  EXPECT_TRUE(all.back().table);
}

TEST(change_log, steps_without_content_take_no_room) {
  change_log log(2);
  log.add(step(0, 1));
  for (std::uint64_t revision = 1; revision < 50; ++revision) {
    log.add({.after = revision, .revision = revision + 1});
  }
  EXPECT_EQ(log.since(0).value_or(std::vector<change_batch>()).size(), 2U);
}

RC_GTEST_PROP(change_log, steps_lead_on_without_a_gap, ()) {
  change_log log(static_cast<std::size_t>(*rc::gen::inRange(1, 6)));
  std::uint64_t last = 0;
  const int count = *rc::gen::inRange(1, 30);
  for (int i = 0; i < count; ++i) {
    // Now and then a step is missing, and now and then one changes nothing.
    const std::uint64_t after = last + (*rc::gen::inRange(0, 8) == 0 ? 1 : 0);
    const std::uint64_t revision = after + static_cast<std::uint64_t>(*rc::gen::inRange(1, 4));
    change_batch next = step(after, revision);
    if (*rc::gen::inRange(0, 3) == 0) {
      next.removed.clear();
    }
    log.add(next);
    last = revision;
    std::uint64_t known = static_cast<std::uint64_t>(*rc::gen::inRange(0, static_cast<int>(last)));
    const auto steps = log.since(known);
    if (!steps) {
      continue;
    }
    for (const change_batch& one : *steps) {
      RC_ASSERT(one.after <= known);
      RC_ASSERT(one.revision > known);
      known = one.revision;
    }
    RC_ASSERT(known == last);
  }
}

}  // namespace
}  // namespace catkintack::control
