// Regions of residence in whole fleets: selection and relays, without a network.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "catkintack/choice/placement.hpp"
#include "catkintack/choice/probe_selection.hpp"
#include "catkintack/choice/relay_hosts.hpp"
#include "catkintack/choice/search_area.hpp"
#include "catkintack/choice/upstream_subset.hpp"

namespace catkintack::choice {
namespace {

const base::instant start{std::chrono::seconds(10)};

struct fleet_host {
  base::address where;
  base::region_id region;
  relay_offer offer{};
  base::instant offered_at = start;
};

struct fleet_upstream {
  base::upstream_id id;
  base::region_id region;
  probe_result load;
};

/// @brief Hosts of mixed builds and upstreams of one service in up to five regions.
class random_fleet {
 public:
  random_fleet(std::size_t host_count, std::uint64_t seed)
      : random(base::seeded_random_hook(seed)), region_count_(1 + random() % 5) {
    for (std::size_t i = 0; i < host_count; ++i) {
      fleet_host host{
          .where = {"10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200), 7},
          .region = any_region()};
      // A tenth of the offers is out of date.
      host.offered_at = random() % 10 == 0 ? start - std::chrono::seconds(2) : start;
      host.offer = {.available = random() % 3 != 0,
                    .region = host.region,
                    .protocol_version = static_cast<std::uint32_t>(random() % 3)};
      hosts.push_back(host);
    }
    const std::size_t upstream_count = random() % (host_count + 3);
    for (std::size_t i = 0; i < upstream_count; ++i) {
      const bool full = random() % 3 == 0;
      upstreams.push_back(
          {.id = base::upstream_id("u" + std::to_string(i)),
           .region = any_region(),
           .load = {
               .running = full ? 2U : 0U, .queued = full ? 9U : 0U, .slots = 2, .slowdown = 1.0}});
    }
  }

  base::region_id any_region() { return region(random() % region_count_); }
  static base::region_id region(std::size_t i) {
    return base::region_id("region-" + std::to_string(i));
  }
  /// @brief Regions of a route and a customer; one in eight calls is not restricted.
  residence any_residence() {
    residence result;
    const std::size_t lists = random() % 8 == 0 ? 0 : 1 + random() % 2;
    for (std::size_t i = 0; i < lists; ++i) {
      std::vector<base::region_id> listed;
      for (std::size_t j = 1 + random() % 3; j > 0; --j) {
        listed.push_back(any_region());
      }
      result = result.intersect(residence::of(listed));
    }
    return result;
  }

  base::random_hook random;
  std::vector<fleet_host> hosts;
  std::vector<fleet_upstream> upstreams;

 private:
  std::size_t region_count_;
};

/// @brief The search of one host for one call, as upstream_selection makes it, until its decision.
class host_search {
 public:
  host_search(random_fleet& fleet, const fleet_host& host, const residence& allowed)
      : fleet_(fleet),
        host_(host),
        area_(host.region, allowed, has_own_upstream(fleet, host, allowed)) {}

  placement run() {
    constexpr std::size_t neighbours = 5;
    auto region =
        select_subset(list(search_place::near), base::host_id(host_.where.ip), neighbours);
    const search_scope whole =
        area_.own_region_replaced() ? search_scope::everywhere : search_scope::region;
    const bool split = !region.secondary.empty();
    probe_and_place(region.primary, split ? search_scope::subset : whole);
    if (split && decision_.action == placement_action::widen_search) {
      probe_and_place(region.secondary, whole);
    }
    if (decision_.action == placement_action::widen_search) {
      probe_and_place(list(search_place::far), search_scope::everywhere);
    }
    return decision_;
  }
  const std::vector<candidate>& probed() const { return probed_; }
  /// @brief Largest number of upstreams in other regions probed in one round.
  std::size_t max_remote_probes() const { return max_remote_probes_; }

 private:
  static bool has_own_upstream(const random_fleet& fleet,
                               const fleet_host& host,
                               const residence& allowed) {
    return std::ranges::any_of(fleet.upstreams, [&](const fleet_upstream& one) {
      return one.region == host.region && allowed.allows(one.region);
    });
  }

  std::vector<candidate> list(search_place place) const {
    std::vector<candidate> result;
    for (const fleet_upstream& one : fleet_.upstreams) {
      if (area_.place_of(one.region) == place) {
        result.push_back({.id = one.id,
                          .distance = one.region == host_.region
                                          ? upstream_distance::same_region
                                          : upstream_distance::other_region});
      }
    }
    return result;
  }

  void probe_and_place(std::vector<candidate> candidates, search_scope scope) {
    const std::size_t count =
        area_.own_region_replaced() || scope == search_scope::everywhere ? 2 : 4;
    auto planned = select_probe_targets(std::move(candidates), count, fleet_.random);
    std::size_t remote = 0;
    for (candidate& one : planned) {
      one.probe = std::ranges::find(fleet_.upstreams, one.id, &fleet_upstream::id)->load;
      remote += one.distance == upstream_distance::other_region ? 1 : 0;
      probed_.push_back(one);
    }
    max_remote_probes_ = std::max(max_remote_probes_, remote);
    const call_requirements call{.service_time = {.typical = std::chrono::milliseconds(100)},
                                 .objective_left = std::chrono::milliseconds(500),
                                 .deadline_left = std::chrono::seconds(1),
                                 // The byte budget for traffic between regions is used up.
                                 .may_leave_region = false};
    decision_ = place_call(probed_, scope, call, {}, fleet_.random);
  }

  random_fleet& fleet_;
  const fleet_host& host_;
  search_area area_;
  std::vector<candidate> probed_;
  placement decision_;
  std::size_t max_remote_probes_ = 0;
};

class residence_in_fleet : public testing::TestWithParam<std::size_t> {
 protected:
  static constexpr std::uint64_t fleets = 40;
  static constexpr int calls_per_fleet = 25;
};

// Guards against calls whose data leaves the allowed regions, and against refusals of calls from
// other regions once the byte budget is used up.
TEST_P(residence_in_fleet, selection_stays_in_allowed_regions_and_finds_idle_upstreams) {
  for (std::uint64_t seed = 0; seed < fleets; ++seed) {
    random_fleet fleet(GetParam(), seed);
    for (int i = 0; i < calls_per_fleet; ++i) {
      const fleet_host& host = fleet.hosts[fleet.random() % fleet.hosts.size()];
      const residence allowed = fleet.any_residence();
      host_search search(fleet, host, allowed);
      const placement decision = search.run();
      SCOPED_TRACE("seed " + std::to_string(seed) + " call " + std::to_string(i));
      EXPECT_LE(search.max_remote_probes(), 2U);
      for (const candidate& one : search.probed()) {
        const auto found = std::ranges::find(fleet.upstreams, one.id, &fleet_upstream::id);
        ASSERT_TRUE(allowed.allows(found->region));
      }
      const bool idle_probed = std::ranges::any_of(
          search.probed(), [](const candidate& one) { return one.probe->running == 0; });
      const bool any_allowed = std::ranges::any_of(
          fleet.upstreams, [&](const fleet_upstream& one) { return allowed.allows(one.region); });
      EXPECT_EQ(any_allowed, !search.probed().empty());
      EXPECT_EQ(idle_probed, decision.action == placement_action::send);
    }
  }
}

// Guards against relays to hosts outside the allowed regions or of an older build, and against
// calls that are refused although a host may take them.
TEST_P(residence_in_fleet, relays_stay_in_allowed_regions_and_reach_each_host_that_may_take_calls) {
  // Each call tries every host, so that larger fleets take quadratically longer.
  constexpr std::size_t hosts_in_all = 1500;
  const std::uint64_t seeds = std::min<std::uint64_t>(fleets, 1 + hosts_in_all / GetParam());
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    random_fleet fleet(GetParam(), seed);
    relay_hosts table({.region = fleet.any_region()});
    for (const fleet_host& host : fleet.hosts) {
      table.on_offer(host.where, host.offer, host.offered_at);
    }
    constexpr int relayed_calls = 8;
    for (int i = 0; i < relayed_calls; ++i) {
      const residence allowed = fleet.any_residence();
      const auto may_take = [&](const fleet_host& host) {
        return host.offer.available && host.offered_at == start &&
               (!allowed.restricted() ||
                (allowed.allows(host.region) && host.offer.protocol_version >= 1));
      };
      std::set<base::address> tried;
      const base::address none;
      const auto choose = [&] {
        return table
            .choose(
                start, tried, [](const auto&) { return 0U; }, fleet.random, allowed)
            .value_or(none);
      };
      for (base::address chosen = choose(); chosen != none; chosen = choose()) {
        const auto host = std::ranges::find(fleet.hosts, chosen, &fleet_host::where);
        ASSERT_TRUE(may_take(*host)) << "seed " << seed << " call " << i;
        ASSERT_TRUE(tried.insert(chosen).second);
      }
      EXPECT_EQ(tried.size(),
                static_cast<std::size_t>(std::ranges::count_if(fleet.hosts, may_take)))
          << "seed " << seed << " call " << i;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(sizes, residence_in_fleet, testing::Values(3, 17, 123, 472));

}  // namespace
}  // namespace catkintack::choice
