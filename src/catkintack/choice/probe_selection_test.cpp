#include "catkintack/choice/probe_selection.hpp"

#include <gtest/gtest.h>

#include <map>

namespace catkintack::choice {
namespace {

std::vector<candidate> make(int count, upstream_distance distance, bool outlier = false) {
  std::vector<candidate> result;
  for (int i = 0; i < count; ++i) {
    candidate one;
    one.id = base::upstream_id(std::to_string(i));
    one.distance = distance;
    one.outlier = outlier;
    result.push_back(one);
  }
  return result;
}

TEST(probe_selection, healthy_upstreams_precede_outliers) {
  auto all = make(2, upstream_distance::same_region, true);
  candidate healthy;
  healthy.id = base::upstream_id("sound");
  all.push_back(healthy);
  const auto selected = select_probe_targets(all, 2, base::seeded_random_hook(1));
  ASSERT_EQ(selected.size(), 2U);
  EXPECT_EQ(selected[0].id.value(), "sound");
}

TEST(probe_selection, hosts_select_different_upstreams) {
  std::map<base::upstream_id, int> first;
  for (std::uint64_t host = 0; host < 400; ++host) {
    ++first[select_probe_targets(make(8, upstream_distance::same_region), 3,
                                 base::seeded_random_hook(host))[0]
                .id];
  }
  ASSERT_EQ(first.size(), 8U);
  for (const auto& [id, count] : first) {
    EXPECT_LT(count, 100) << id.value();
  }
}

TEST(probe_selection, selects_no_more_than_available) {
  EXPECT_EQ(
      select_probe_targets(make(2, upstream_distance::same_region), 4, base::seeded_random_hook(1))
          .size(),
      2U);
}

}  // namespace
}  // namespace catkintack::choice
