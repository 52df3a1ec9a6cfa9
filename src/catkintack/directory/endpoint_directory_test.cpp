#include "catkintack/directory/endpoint_directory.hpp"

#include <gtest/gtest.h>

namespace catkintack::directory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::service_id press("press");
constexpr base::instant start{seconds(100)};

endpoint make(std::string id, std::uint64_t run = 1, bool leaving = false) {
  endpoint result;
  result.record.id = base::upstream_id(std::move(id));
  result.record.service = press;
  result.record.where = {"10.0.0.1", 80};
  result.record.leaving = leaving;
  result.run = base::incarnation(run);
  return result;
}

TEST(endpoint_directory, leaving_upstream_gets_no_new_work) {
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  directory.upsert(make("b"), start);
  EXPECT_EQ(directory.available(press, start).size(), 2U);
  EXPECT_TRUE(directory.upsert(make("a", 1, true), start));
  ASSERT_EQ(directory.available(press, start).size(), 1U);
  EXPECT_EQ(directory.available(press, start)[0]->listed.record.id.value(), "b");
}

TEST(endpoint_directory, older_incarnation_does_not_replace_a_newer_one) {
  endpoint_directory directory;
  directory.upsert(make("a", 5, true), start);
  EXPECT_FALSE(directory.upsert(make("a", 4), start));
  EXPECT_TRUE(directory.available(press, start).empty());
  EXPECT_TRUE(directory.upsert(make("a", 6), start));
  EXPECT_EQ(directory.available(press, start).size(), 1U);
}

TEST(endpoint_directory, upstream_with_changed_service_is_removed_from_the_old_one) {
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  endpoint moved = make("a", 2);
  moved.record.service = base::service_id("ledger");
  directory.upsert(moved, start);
  EXPECT_TRUE(directory.available(press, start).empty());
  EXPECT_EQ(directory.available(base::service_id("ledger"), start).size(), 1U);
}

TEST(endpoint_directory, missing_entries_are_kept_for_the_grace_period) {
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  directory.upsert(make("b"), start);
  directory.replace_all({make("b")}, start, start + seconds(2));
  EXPECT_EQ(directory.available(press, start).size(), 2U);
  EXPECT_TRUE(directory.expire(start + milliseconds(1999)).empty());
  EXPECT_EQ(directory.expire(start + seconds(2)).size(), 1U);
  EXPECT_EQ(directory.available(press, start).size(), 1U);
}

TEST(endpoint_directory, upstream_gets_no_work_after_the_grace_period) {
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  directory.expire_at(base::upstream_id("a"), start + seconds(1));
  EXPECT_EQ(directory.available(press, start + milliseconds(999)).size(), 1U);
  EXPECT_TRUE(directory.available(press, start + seconds(1)).empty());
}

TEST(endpoint_directory, entry_added_again_in_the_grace_period_is_kept) {
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  directory.expire_at(base::upstream_id("a"), start + seconds(2));
  EXPECT_TRUE(directory.upsert(make("a"), start + seconds(1)));
  EXPECT_TRUE(directory.expire(start + seconds(10)).empty());
}

TEST(endpoint_directory, missing_entry_is_removed_at_once_without_grace_period) {
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  directory.replace_all({}, start, start);
  EXPECT_EQ(directory.size(), 0U);
}

TEST(endpoint_directory, warm_up_starts_when_the_entry_is_added) {
  endpoint_directory directory;
  endpoint cold = make("a");
  cold.warm_up_left = seconds(3);
  directory.upsert(cold, start);
  EXPECT_EQ(directory.find(base::upstream_id("a"))->warm_up_until, start + seconds(3));
}

TEST(endpoint_directory, announced_departure_outlasts_a_listing_as_ready) {
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  EXPECT_TRUE(directory.mark_leaving(base::upstream_id("a"), start));
  EXPECT_FALSE(directory.mark_leaving(base::upstream_id("a"), start));
  directory.upsert(make("a"), start + seconds(1));
  EXPECT_TRUE(directory.available(press, start + seconds(1)).empty());
  EXPECT_FALSE(directory.is_available(base::upstream_id("a"), start + seconds(1)));
  directory.upsert(make("a", 2), start + seconds(2));
  EXPECT_EQ(directory.available(press, start + seconds(2)).size(), 1U);
}

TEST(endpoint_directory, announced_departure_outlasts_the_removal_of_the_entry) {
  endpoint_directory directory;
  directory.upsert(make("a", 1, true), start);
  directory.replace_all({}, start, start);
  EXPECT_EQ(directory.size(), 0U);
  directory.upsert(make("a"), start + seconds(3));
  EXPECT_TRUE(directory.available(press, start + seconds(3)).empty());
}

// A registry restored from an older copy lists upstreams that have left since.
TEST(endpoint_directory, restored_entry_of_a_removed_upstream_is_held_back) {
  using listing_kind = endpoint_directory::listing_kind;
  endpoint_directory directory;
  directory.upsert(make("gone"), start);
  directory.upsert(make("kept"), start);
  directory.replace_all({make("kept")}, start, start);
  const base::instant restored = start + seconds(2);
  directory.replace_all({make("gone"), make("kept")}, restored, restored, listing_kind::restored);
  ASSERT_EQ(directory.available(press, restored + seconds(14)).size(), 1U);
  EXPECT_EQ(directory.available(press, restored)[0]->listed.record.id.value(), "kept");
  EXPECT_EQ(directory.available(press, restored + seconds(15)).size(), 2U);
}

TEST(endpoint_directory, restored_entry_that_is_written_again_gets_work) {
  using listing_kind = endpoint_directory::listing_kind;
  endpoint_directory directory;
  directory.upsert(make("a"), start);
  directory.expire_at(base::upstream_id("a"), start + seconds(2));
  directory.replace_all({make("a")}, start, start, listing_kind::restored);
  EXPECT_TRUE(directory.available(press, start).empty());
  EXPECT_TRUE(directory.upsert(make("a"), start + seconds(1)));
  EXPECT_EQ(directory.available(press, start + seconds(1)).size(), 1U);
}

TEST(endpoint_directory, restored_entry_of_a_later_incarnation_is_not_held_back) {
  using listing_kind = endpoint_directory::listing_kind;
  endpoint_directory directory;
  directory.upsert(make("a", 1), start);
  directory.replace_all({}, start, start);
  directory.replace_all({make("a", 2)}, start, start, listing_kind::restored);
  EXPECT_EQ(directory.available(press, start).size(), 1U);
}

}  // namespace
}  // namespace catkintack::directory
