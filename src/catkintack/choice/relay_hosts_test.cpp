#include "catkintack/choice/relay_hosts.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace catkintack::choice {
namespace {

const base::instant start{std::chrono::seconds(10)};
const base::address near{"10.0.0.1", 7};
const base::address other_domain{"10.0.0.2", 7};
const base::address far{"10.0.0.3", 7};

relay_offer offer(const char* region, const char* domain, bool available = true) {
  return {.available = available,
          .region = base::region_id(region),
          .failure_domain = base::failure_domain_id(domain)};
}

/// @brief A table of a host in the region "east" and the failure domain "one".
struct relay_hosts_fixture : testing::Test {
  relay_hosts_fixture() {
    table.on_offer(far, offer("west", "three"), start);
    table.on_offer(other_domain, offer("east", "two"), start);
    table.on_offer(near, offer("east", "one"), start);
  }
  std::optional<base::address> choose(base::instant now,
                                      const std::set<base::address>& tried = {}) {
    return table.choose(
        now, tried, [](const auto&) { return 0U; }, random);
  }

  relay_hosts table{
      {.region = base::region_id("east"), .failure_domain = base::failure_domain_id("one")}};
  base::random_hook random = base::seeded_random_hook(1);
};

TEST_F(relay_hosts_fixture, nearest_host_is_chosen_first) {
  EXPECT_EQ(choose(start), near);
  EXPECT_EQ(choose(start, {near}), other_domain);
  EXPECT_EQ(choose(start, {near, other_domain}), far);
  EXPECT_FALSE(choose(start, {near, other_domain, far}));
}

TEST_F(relay_hosts_fixture, offers_become_out_of_date_unless_renewed) {
  const base::instant later = start + std::chrono::milliseconds(1400);
  table.on_success(other_domain, later);
  EXPECT_EQ(choose(later + std::chrono::milliseconds(200)), other_domain);
  EXPECT_FALSE(choose(later + std::chrono::seconds(2)));
}

TEST_F(relay_hosts_fixture, host_that_failed_is_left_alone_for_a_moment) {
  table.on_failure(near, start);
  EXPECT_EQ(choose(start + std::chrono::milliseconds(400)), other_domain);
  EXPECT_EQ(choose(start + std::chrono::milliseconds(600)), near);
}

TEST_F(relay_hosts_fixture, host_that_became_isolated_itself_is_not_used_before_its_next_offer) {
  table.on_refusal(near);
  EXPECT_EQ(choose(start), other_domain);
  table.on_offer(near, offer("east", "one"), start);
  EXPECT_EQ(choose(start), near);
  table.on_offer(near, offer("east", "one", false), start);
  EXPECT_EQ(choose(start), other_domain);
}

TEST_F(relay_hosts_fixture, host_with_less_to_do_is_chosen_of_two) {
  const base::address second{"10.0.0.4", 7};
  table.on_offer(second, offer("east", "one"), start);
  int chosen = 0;
  for (int i = 0; i < 100; ++i) {
    const auto host = table.choose(
        start, {}, [&](const auto& one) { return one == near ? 5U : 0U; }, random);
    chosen += host == second ? 1 : 0;
  }
  EXPECT_GT(chosen, 60);
}

TEST_F(relay_hosts_fixture, hosts_asked_longest_ago_are_asked_next) {
  relay_hosts fresh{{}};
  for (int i = 1; i <= 6; ++i) {
    fresh.add({"10.0.1." + std::to_string(i), 7});
  }
  std::set<base::address> asked;
  for (int round = 0; round < 3; ++round) {
    for (const auto& host :
         fresh.hosts_to_ask(start + std::chrono::milliseconds(round), 4, 2, random)) {
      asked.insert(host);
    }
  }
  EXPECT_EQ(asked.size(), 6U);
}

TEST_F(relay_hosts_fixture, table_is_bounded) {
  relay_hosts small{{.max_hosts = 2}};
  for (int i = 1; i <= 6; ++i) {
    small.on_offer({"10.0.1." + std::to_string(i), 7}, offer("east", "one"), start);
  }
  EXPECT_EQ(small.size(), 2U);
}

relay_offer enforcing_offer(const char* region) {
  relay_offer result = offer(region, "any");
  result.protocol_version = 1;
  return result;
}

const residence west_only = residence::of({base::region_id("west")});

// Guards against a host of an older build, which would serve the call in any region.
TEST_F(relay_hosts_fixture, restricted_call_needs_a_host_that_enforces_residence) {
  const auto choose_west = [&](base::instant now) {
    return table.choose(
        now, {}, [](const auto&) { return 0U; }, random, west_only);
  };
  EXPECT_FALSE(choose_west(start));
  table.on_offer(far, enforcing_offer("west"), start);
  EXPECT_EQ(choose_west(start), far);
  table.on_offer(far, offer("west", "three"), start);
  EXPECT_FALSE(choose_west(start));
}

// Guards against a host that was replaced by one of an older build at the same address, whose
// answers would keep the version of the former one valid.
TEST_F(relay_hosts_fixture, success_does_not_renew_the_version_of_a_host) {
  table.on_offer(far, enforcing_offer("west"), start);
  const base::instant later = start + std::chrono::milliseconds(1400);
  table.on_success(far, later);
  const base::instant after_offer = later + std::chrono::milliseconds(200);
  EXPECT_EQ(choose(after_offer), far);
  EXPECT_FALSE(table.choose(
      after_offer, {}, [](const auto&) { return 0U; }, random, west_only));
}

// Guards against a lookup that ends once nearby hosts offered, although none may take the calls
// that are restricted to another region.
TEST_F(relay_hosts_fixture, hosts_are_sought_in_each_restricted_region) {
  relay_hosts known{{.region = base::region_id("east")}};
  for (int i = 1; i <= 6; ++i) {
    known.on_offer({"10.0.1." + std::to_string(i), 7}, enforcing_offer("east"), start);
  }
  known.add(far);
  const std::set<base::region_id> wanted{base::region_id("west")};
  const auto contains_far = [](const std::vector<base::address>& asked) {
    return std::ranges::find(asked, far) != asked.end();
  };
  EXPECT_FALSE(contains_far(known.hosts_to_ask(start, 4, 8, random)));
  EXPECT_TRUE(contains_far(known.hosts_to_ask(start, 4, 8, random, wanted)));
  known.on_offer(far, enforcing_offer("west"), start);
  for (int round = 0; round < 20; ++round) {
    EXPECT_TRUE(contains_far(known.hosts_to_ask(start, 4, 8, random, wanted)));
  }
}

}  // namespace
}  // namespace catkintack::choice
