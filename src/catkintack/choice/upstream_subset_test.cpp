#include "catkintack/choice/upstream_subset.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace catkintack::choice {
namespace {

std::vector<candidate> region_of(int count, int own_domain) {
  std::vector<candidate> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    result.push_back({.id = base::upstream_id("u" + std::to_string(i)),
                      .distance = i < own_domain ? upstream_distance::same_failure_domain
                                                 : upstream_distance::same_region});
  }
  return result;
}

std::set<std::string> names(const std::vector<candidate>& some) {
  std::set<std::string> result;
  for (const candidate& one : some) {
    result.insert(one.id.value());
  }
  return result;
}

const base::host_id host("h1");

TEST(upstream_subset, own_failure_domain_is_primary_and_small_region_is_secondary) {
  const upstream_subset subset = select_subset(region_of(4, 2), host, 8);
  ASSERT_EQ(subset.primary.size(), 2U);
  EXPECT_EQ(std::ranges::count(subset.primary, upstream_distance::same_failure_domain,
                               &candidate::distance),
            2);
  EXPECT_EQ(subset.secondary.size(), 2U);
}

TEST(upstream_subset, two_are_primary_if_own_failure_domain_has_fewer) {
  EXPECT_EQ(select_subset(region_of(9, 0), host, 8).primary.size(), 2U);
  EXPECT_EQ(select_subset(region_of(9, 1), host, 8).primary.size(), 2U);
  EXPECT_EQ(select_subset(region_of(1, 0), host, 8).primary.size(), 1U);
  EXPECT_TRUE(select_subset({}, host, 8).primary.empty());
}

TEST(upstream_subset, subset_of_large_region_is_bounded) {
  const upstream_subset subset = select_subset(region_of(300, 100), host, 8);
  EXPECT_EQ(subset.primary.size(), 8U);
  EXPECT_EQ(subset.secondary.size(), 16U);
}

TEST(upstream_subset, outliers_are_primary_only_if_others_are_missing) {
  auto region = region_of(10, 10);
  for (std::size_t i = 0; i < 9; ++i) {
    region[i].outlier = true;
  }
  const upstream_subset subset = select_subset(region, host, 6);
  EXPECT_EQ(subset.primary.size(), 2U);
  EXPECT_EQ(std::ranges::count(subset.primary, true, &candidate::outlier), 1);
}

TEST(upstream_subset, added_upstream_changes_at_most_one_place) {
  const auto before = names(select_subset(region_of(40, 40), host, 8).primary);
  auto region = region_of(40, 40);
  for (int i = 0; i < 20; ++i) {
    auto grown = region;
    grown.push_back({.id = base::upstream_id("new" + std::to_string(i)),
                     .distance = upstream_distance::same_failure_domain});
    const auto after = names(select_subset(grown, host, 8).primary);
    std::vector<std::string> kept;
    std::ranges::set_intersection(before, after, std::back_inserter(kept));
    EXPECT_GE(kept.size(), 7U);
  }
}

TEST(upstream_subset, hosts_of_a_domain_cover_all_its_upstreams) {
  std::map<std::string, int> uses;
  for (int i = 0; i < 15; ++i) {
    const base::host_id one("h" + std::to_string(i));
    for (const auto& name : names(select_subset(region_of(50, 17), one, 8).primary)) {
      ++uses[name];
    }
  }
  EXPECT_EQ(uses.size(), 17U);
}

}  // namespace
}  // namespace catkintack::choice
