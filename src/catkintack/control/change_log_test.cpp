#include "catkintack/control/change_log.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

change_batch make_batch(std::uint64_t base_revision, std::uint64_t revision) {
  change_batch result{.base_revision = {.number = base_revision}, .revision = {.number = revision}};
  result.removed = {base::upstream_id(std::to_string(revision))};
  return result;
}

TEST(change_log, since_returns_the_batches_after_a_revision) {
  change_log log;
  log.reset({.number = 10});
  log.append(make_batch(10, 12));
  log.append(make_batch(12, 15));
  const auto batches = log.since({.number = 10}).value_or(std::vector<change_batch>());
  ASSERT_EQ(batches.size(), 2U);
  EXPECT_EQ(batches.back().revision.number, 15U);
  EXPECT_EQ(log.since({.number = 12}).value_or(batches).size(), 1U);
  EXPECT_EQ(log.since({.number = 15}).value_or(batches).size(), 0U);
}

TEST(change_log, since_fails_for_a_revision_older_than_the_log) {
  change_log log(2);
  log.reset({.number = 10});
  log.append(make_batch(10, 11));
  log.append(make_batch(11, 12));
  log.append(make_batch(12, 13));
  EXPECT_FALSE(log.since({.number = 10}));
  EXPECT_TRUE(log.since({.number = 11}));
}

TEST(change_log, keeps_only_the_newest_table) {
  change_log log;
  change_batch first = make_batch(0, 1);
  first.table = routes::route_table_builder(base::list_version(1)).build();
  change_batch second = make_batch(1, 2);
  second.table = routes::route_table_builder(base::list_version(2)).build();
  log.append(first);
  log.append(second);
  const auto batches = log.since({.number = 0}).value_or(std::vector<change_batch>());
  ASSERT_EQ(batches.size(), 2U);
  EXPECT_FALSE(batches.front().table);
  EXPECT_TRUE(batches.back().table);
}

TEST(change_log, merges_consecutive_empty_batches) {
  change_log log(2);
  log.append(make_batch(0, 1));
  for (std::uint64_t revision = 1; revision < 50; ++revision) {
    log.append({.base_revision = {.number = revision}, .revision = {.number = revision + 1}});
  }
  EXPECT_EQ(log.since({.number = 0}).value_or(std::vector<change_batch>()).size(), 2U);
}

RC_GTEST_PROP(change_log, batches_are_contiguous, ()) {
  change_log log(static_cast<std::size_t>(*rc::gen::inRange(1, 6)));
  std::uint64_t last = 0;
  const int count = *rc::gen::inRange(1, 30);
  for (int i = 0; i < count; ++i) {
    // Some batches are missing, and some are empty.
    const std::uint64_t base_revision = last + (*rc::gen::inRange(0, 8) == 0 ? 1 : 0);
    const std::uint64_t revision =
        base_revision + static_cast<std::uint64_t>(*rc::gen::inRange(1, 4));
    change_batch next = make_batch(base_revision, revision);
    if (*rc::gen::inRange(0, 3) == 0) {
      next.removed.clear();
    }
    log.append(next);
    last = revision;
    std::uint64_t known = static_cast<std::uint64_t>(*rc::gen::inRange(0, static_cast<int>(last)));
    const auto batches = log.since({.number = known});
    if (!batches) {
      continue;
    }
    for (const change_batch& batch : *batches) {
      RC_ASSERT(batch.base_revision.number <= known);
      RC_ASSERT(batch.revision.number > known);
      known = batch.revision.number;
    }
    RC_ASSERT(known == last);
  }
}

TEST(change_log, host_of_an_earlier_era_needs_a_snapshot) {
  change_log log;
  log.reset({base::registry_era(1), 5});
  EXPECT_FALSE(log.since({base::registry_era(0), 900}));
  EXPECT_TRUE(log.since({base::registry_era(1), 5}));
}

}  // namespace
}  // namespace catkintack::control
