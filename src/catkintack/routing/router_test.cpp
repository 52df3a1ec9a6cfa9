#include "catkintack/routing/router.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace catkintack::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::service_id service("scan-service");
constexpr std::size_t fleet_size = 6;

upstream_record make_upstream(std::size_t index, const std::string& region = "east") {
  upstream_record record;
  record.id = base::upstream_id("scan-" + std::to_string(index));
  record.service = service;
  record.region = base::region_id(region);
  record.slots = 2;
  return record;
}

std::vector<upstream_record> make_fleet(std::size_t size = fleet_size) {
  std::vector<upstream_record> fleet;
  for (std::size_t index = 0; index < size; ++index) {
    fleet.push_back(make_upstream(index));
  }
  return fleet;
}

router_options make_options() {
  router_options options;
  options.region = base::region_id("east");
  return options;
}

attempt_observation make_failure() {
  attempt_observation observation;
  observation.result = attempt_result::answered;
  observation.server_error = true;
  return observation;
}

class router_test : public ::testing::Test {
 protected:
  router_test() { router_.update_upstreams(now_, make_fleet()); }

  void fail(std::size_t index, int times) {
    for (int time = 0; time < times; ++time) {
      router_.on_attempt_ended(now_, make_upstream(index).id, make_failure());
    }
  }

  base::instant now_{seconds(10)};
  router router_{make_options(), base::seeded_random_hook(1)};
};

TEST_F(router_test, leaving_report_takes_effect_at_once) {
  attempt_observation observation;
  observation.load = load_report{0, 0, true};
  router_.on_attempt_ended(now_, make_upstream(0).id, observation);
  while (const upstream_record* const chosen = router_.choose(now_, service, {})) {
    EXPECT_NE(chosen->id, make_upstream(0).id);
  }
}

TEST_F(router_test, failing_upstream_is_ejected_and_readmitted) {
  fail(0, 5);
  while (const upstream_record* const chosen =
             router_.choose(now_, service, {}, choice_scope::own_region)) {
    EXPECT_NE(chosen->id, make_upstream(0).id);
  }
  now_ += seconds(2);
  const upstream_record* const chosen = router_.choose(now_, service, {});
  ASSERT_NE(chosen, nullptr);
  EXPECT_EQ(chosen->id, make_upstream(0).id);
}

TEST_F(router_test, service_with_all_upstreams_failing_is_still_used) {
  for (std::size_t index = 0; index < fleet_size; ++index) {
    fail(index, 20);
  }
  EXPECT_NE(router_.choose(now_, service, {}), nullptr);
}

TEST_F(router_test, attempts_to_other_regions_are_limited) {
  std::vector<upstream_record> fleet;
  for (std::size_t index = 0; index < fleet_size; ++index) {
    fleet.push_back(make_upstream(index, "west"));
    fleet.back().slots = 10'000;
  }
  router_.update_upstreams(now_, fleet);
  constexpr int calls = 1000;
  int sent = 0;
  for (int call = 0; call < calls; ++call) {
    sent += router_.choose(now_, service, {}) != nullptr ? 1 : 0;
  }
  EXPECT_GE(sent, calls / 2);
  EXPECT_LE(sent, calls / 2 + 50);
}

TEST_F(router_test, attempts_in_flight_are_limited_to_slots_and_waiting) {
  std::size_t sent = 0;
  while (router_.choose(now_, service, {}) != nullptr) {
    ++sent;
  }
  EXPECT_EQ(sent, fleet_size * 3);
  EXPECT_TRUE(router_.at_capacity(now_, service, {}));
}

struct sent_attempt {
  base::upstream_id upstream;
  base::instant at{};
};

RC_GTEST_PROP(router, never_selects_leaving_upstream_and_counts_attempts, ()) {
  router tested(make_options(), base::seeded_random_hook(*rc::gen::arbitrary<std::uint64_t>()));
  base::instant now{seconds(1)};
  std::vector<upstream_record> fleet = make_fleet();
  tested.update_upstreams(now, fleet);
  std::vector<sent_attempt> open;
  const auto steps = *rc::gen::inRange(0, 200);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 50));
    switch (*rc::gen::inRange(0, 5)) {
      case 0: {
        upstream_record& changed = fleet[*rc::gen::inRange<std::size_t>(0, fleet_size)];
        changed.leaving = !changed.leaving;
        tested.update_upstreams(now, fleet);
        break;
      }
      case 1:
      case 2:
        if (!open.empty()) {
          const auto index = *rc::gen::inRange<std::size_t>(0, open.size());
          attempt_observation observation;
          observation.result = *rc::gen::element(attempt_result::answered, attempt_result::broken,
                                                 attempt_result::refused);
          observation.elapsed = now - open[index].at;
          tested.on_attempt_ended(now, open[index].upstream, observation);
          open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
        }
        break;
      default:
        if (const upstream_record* const chosen = tested.choose(now, service, {})) {
          RC_ASSERT(!chosen->leaving);
          open.push_back({chosen->id, now});
        }
    }
    std::size_t counted = 0;
    for (const upstream_record& record : fleet) {
      counted += tested.in_flight(record.id);
    }
    RC_ASSERT(counted == open.size());
  }
}

RC_GTEST_PROP(router, at_most_half_of_a_region_is_excluded, ()) {
  router tested(make_options(), base::seeded_random_hook(1));
  const base::instant now{seconds(10)};
  tested.update_upstreams(now, make_fleet());
  const auto failing = *rc::gen::inRange<std::size_t>(0, fleet_size + 1);
  for (std::size_t index = 0; index < failing; ++index) {
    for (int time = 0; time < 5; ++time) {
      tested.on_attempt_ended(now, make_upstream(index).id, make_failure());
    }
  }
  std::size_t reachable = 0;
  while (tested.choose(now, service, {}, choice_scope::own_region) != nullptr) {
    ++reachable;
  }
  RC_ASSERT(reachable >= fleet_size * 3 / 2);
}

}  // namespace
}  // namespace catkintack::routing
