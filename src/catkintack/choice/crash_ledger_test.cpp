#include "catkintack/choice/crash_ledger.hpp"

#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

namespace catkintack::choice {
namespace {

const base::request_fingerprint poison("poison");
const base::request_fingerprint bystander("bystander");
const base::instant start{std::chrono::seconds(100)};

crash_id crash(int number) {
  return {.upstream = base::upstream_id("u" + std::to_string(number)), .run = base::incarnation(1)};
}

void add_all(crash_ledger& ledger,
             const base::request_fingerprint& request,
             std::initializer_list<int> crashes) {
  for (const int number : crashes) {
    ledger.add(request, crash(number), start);
  }
}

crash_record entry(const base::request_fingerprint& request,
                   std::initializer_list<int> crashes,
                   std::uint64_t revision) {
  crash_record result{.fingerprint = request, .last_seen_ms = 1, .revision = revision};
  for (const int number : crashes) {
    result.crashes.push_back(crash(number));
  }
  return result;
}

TEST(crash_ledger, request_is_quarantined_after_three_different_crashes) {
  crash_ledger ledger;
  add_all(ledger, poison, {1, 2, 2, 1});
  EXPECT_TRUE(ledger.is_suspect(poison));
  EXPECT_FALSE(ledger.is_quarantined(poison));
  EXPECT_TRUE(ledger.add(poison, crash(3), start));
  EXPECT_TRUE(ledger.is_quarantined(poison));
  EXPECT_FALSE(ledger.is_quarantined(bystander));
}

TEST(crash_ledger, restarted_upstream_can_crash_again) {
  crash_ledger ledger;
  for (std::uint64_t run = 1; run <= 3; ++run) {
    ledger.add(poison, {base::upstream_id("u"), base::incarnation(run)}, start);
  }
  EXPECT_TRUE(ledger.is_quarantined(poison));
}

// Guards against a quarantine of calls that only happened to run beside the culprit.
TEST(crash_ledger, crashes_that_another_request_explains_do_not_count) {
  crash_ledger ledger;
  add_all(ledger, bystander, {1, 2, 3});
  add_all(ledger, poison, {1, 2, 3, 4, 5, 6, 7});
  EXPECT_TRUE(ledger.is_quarantined(poison));
  EXPECT_FALSE(ledger.is_quarantined(bystander));
  add_all(ledger, bystander, {8, 9});
  EXPECT_FALSE(ledger.is_quarantined(bystander));
  ledger.add(bystander, crash(10), start);
  EXPECT_TRUE(ledger.is_quarantined(bystander));
}

TEST(crash_ledger, answer_clears_a_request) {
  crash_ledger ledger;
  ledger.put(entry(poison, {1, 2, 3}, 7));
  const auto cleared = ledger.on_answered(poison, start);
  ASSERT_TRUE(cleared);
  EXPECT_EQ(cleared->revision, 7U);
  EXPECT_FALSE(ledger.is_quarantined(poison));
  EXPECT_FALSE(ledger.on_answered(bystander, start));
}

TEST(crash_ledger, answer_just_before_a_crash_is_known_clears_too) {
  crash_ledger ledger;
  ledger.on_answered(bystander, start);
  EXPECT_FALSE(ledger.add(bystander, crash(1), start + std::chrono::milliseconds(900)));
  ledger.put(entry(bystander, {1, 2, 3}, 7));
  ledger.put(entry(poison, {4, 5, 6}, 8));
  EXPECT_EQ(ledger.take_answered(start + std::chrono::milliseconds(900)).size(), 1U);
  EXPECT_FALSE(ledger.is_quarantined(bystander));
  EXPECT_TRUE(ledger.is_quarantined(poison));
  EXPECT_TRUE(ledger.add(bystander, crash(1), start + std::chrono::seconds(5)));
}

TEST(crash_ledger, remembered_answers_are_bounded) {
  crash_ledger ledger({.max_answers = 1});
  ledger.on_answered(poison, start);
  ledger.on_answered(bystander, start);
  EXPECT_TRUE(ledger.add(poison, crash(1), start));
  EXPECT_FALSE(ledger.add(bystander, crash(1), start));
}

TEST(crash_ledger, records_are_bounded) {
  crash_ledger ledger({.max_records = 1});
  EXPECT_TRUE(ledger.add(poison, crash(1), start));
  EXPECT_FALSE(ledger.add(bystander, crash(1), start));
  EXPECT_TRUE(ledger.add(poison, crash(2), start));
}

TEST(crash_ledger, own_crashes_and_those_of_the_registry_count_together) {
  crash_ledger ledger;
  ledger.put(entry(poison, {1, 2}, 7));
  EXPECT_FALSE(ledger.next_unreported());
  ledger.add(poison, crash(3), start);
  EXPECT_TRUE(ledger.is_quarantined(poison));
  const auto unreported = ledger.next_unreported();
  ASSERT_TRUE(unreported);
  EXPECT_EQ(unreported->crashes.size(), 3U);
  EXPECT_EQ(unreported->revision, 7U);
  ledger.put(entry(poison, {1, 2, 3}, 8));
  EXPECT_FALSE(ledger.next_unreported());
}

TEST(crash_ledger, removed_entry_ends_the_quarantine) {
  crash_ledger ledger;
  ledger.put(entry(poison, {1, 2, 3}, 7));
  ledger.add(poison, crash(4), start);
  ledger.remove(poison);
  EXPECT_FALSE(ledger.is_quarantined(poison));
  EXPECT_FALSE(ledger.next_unreported());
}

TEST(crash_ledger, listing_replaces_the_entries_but_not_unreported_requests) {
  crash_ledger ledger;
  ledger.put(entry(poison, {1, 2, 3}, 7));
  ledger.add(bystander, crash(1), start);
  ledger.replace_all({}, false);
  EXPECT_FALSE(ledger.is_suspect(poison));
  EXPECT_TRUE(ledger.is_suspect(bystander));
}

// Guards against a registry restored from an older copy that ends the quarantine.
TEST(crash_ledger, entries_that_a_restored_registry_lost_are_reported_again) {
  crash_ledger ledger;
  ledger.put(entry(poison, {1, 2, 3}, 70));
  ledger.replace_all({}, true);
  EXPECT_TRUE(ledger.is_quarantined(poison));
  const auto unreported = ledger.next_unreported();
  ASSERT_TRUE(unreported);
  EXPECT_EQ(unreported->revision, 0U);
}

}  // namespace
}  // namespace catkintack::choice
