#include "catkintack/choice/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;

const base::random_hook no_jitter = [] { return std::uint64_t{0}; };

candidate make(std::string id,
               probe_result probe,
               upstream_distance distance = upstream_distance::same_region) {
  candidate result;
  result.id = base::upstream_id(std::move(id));
  result.distance = distance;
  result.probe = probe;
  return result;
}

call_requirements typical_call() {
  return {.service_time = {.typical = milliseconds(200), .saturated_slowdown = 1.5},
          .objective_left = milliseconds(600),
          .deadline_left = milliseconds(4000),
          .max_hold = milliseconds(75),
          .remote_bytes = 1500};
}

/// @brief A call of a host that may not wait for a slot any longer.
call_requirements held_call() {
  call_requirements call = typical_call();
  call.held_for = milliseconds(75);
  call.may_wait_for_slot = false;
  return call;
}

placement decide(const std::vector<candidate>& probed,
                 const call_requirements& call,
                 search_scope scope = search_scope::everywhere,
                 const placement_options& options = {}) {
  return place_call(probed, scope, call, options, no_jitter);
}

TEST(noisy_neighbour, prefers_busier_upstream_on_fast_machine_to_idle_one_on_slow_machine) {
  const placement result =
      decide({make("slow", {0, 0, 2, 4.0}), make("quick", {1, 0, 2, 1.0})}, typical_call());
  EXPECT_EQ(result.action, placement_action::send);
  EXPECT_EQ(result.target.value_or(base::upstream_id()).value(), "quick");
}

TEST(noisy_neighbour, call_waits_for_fast_machine_until_max_hold) {
  call_requirements call = typical_call();
  call.may_wait_for_slot = false;
  const std::vector<candidate> all_slow = {make("a", {0, 0, 2, 4.0}), make("b", {0, 0, 2, 4.0})};
  EXPECT_EQ(decide(all_slow, call, search_scope::everywhere).action, placement_action::wait);
  call.held_for = milliseconds(70);
  EXPECT_EQ(decide(all_slow, call, search_scope::everywhere).action, placement_action::send);
}

TEST(overloaded_region, call_leaves_region_only_within_byte_limit_and_budget) {
  call_requirements call = typical_call();
  const std::vector<candidate> full = {make("a", {2, 3, 2, 1.0})};
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::widen_search);
  call.may_leave_region = false;
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::wait);
  call.may_leave_region = true;
  call.remote_bytes = 20000;
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::wait);
  call.held_for = milliseconds(70);
  call.may_wait_for_slot = false;
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::refuse);
}

TEST(overloaded_failure_domain, search_widens_beyond_subset_before_queueing) {
  const call_requirements call = typical_call();
  const std::vector<candidate> busy = {make("a", {2, 0, 2, 1.0})};
  EXPECT_EQ(decide(busy, call, search_scope::subset).action, placement_action::widen_search);
  EXPECT_EQ(decide(busy, call, search_scope::region).action, placement_action::send);
  const std::vector<candidate> idle = {make("a", {1, 0, 2, 1.0})};
  EXPECT_EQ(decide(idle, call, search_scope::subset).action, placement_action::send);
}

TEST(overloaded_failure_domain, subset_without_probe_results_does_not_refuse) {
  call_requirements call = typical_call();
  call.may_leave_region = false;
  EXPECT_EQ(decide({}, call, search_scope::subset).action, placement_action::widen_search);
}

TEST(short_queue, call_within_objective_is_queued) {
  call_requirements call = typical_call();
  call.objective_left = milliseconds(900);
  EXPECT_EQ(decide({make("a", {2, 0, 2, 1.0})}, call, search_scope::region).action,
            placement_action::send);
}

TEST(overloaded_region, idle_upstream_of_other_region_is_chosen) {
  const placement result = decide({make("here", {2, 3, 2, 1.0}),
                                   make("there", {0, 0, 2, 1.0}, upstream_distance::other_region)},
                                  typical_call());
  EXPECT_EQ(result.action, placement_action::send);
  EXPECT_EQ(result.target.value_or(base::upstream_id()).value(), "there");
}

TEST(all_regions_overloaded, late_first_attempt_is_refused_unless_queueing_is_enabled) {
  call_requirements call = held_call();
  const std::vector<candidate> busy = {make("a", {2, 1, 2, 1.0})};
  EXPECT_EQ(decide(busy, call, search_scope::everywhere, {.queue_new_calls = true}).action,
            placement_action::send);
  const placement result = decide(busy, call);
  EXPECT_EQ(result.action, placement_action::refuse);
  EXPECT_GT(result.pause, base::duration::zero());
}

TEST(all_regions_overloaded, retry_may_queue) {
  call_requirements call = held_call();
  call.is_retry = true;
  EXPECT_EQ(decide({make("a", {2, 1, 2, 1.0})}, call).action, placement_action::send);
}

TEST(all_regions_overloaded, full_queue_receives_no_call) {
  call_requirements call = held_call();
  call.is_retry = true;
  EXPECT_EQ(decide({make("a", {2, 4, 2, 1.0})}, call).action, placement_action::refuse);
}

TEST(all_regions_overloaded, retry_after_grows_with_queue_length) {
  call_requirements call = held_call();
  const placement_options strict{.queue_new_calls = false};
  const auto short_queue =
      decide({make("a", {2, 1, 2, 1.0})}, call, search_scope::everywhere, strict);
  const auto long_queue =
      decide({make("a", {2, 4, 2, 4.0})}, call, search_scope::everywhere, strict);
  EXPECT_GT(long_queue.pause, short_queue.pause);
}

TEST(saturated_service, call_waits_for_a_slot_until_only_its_own_service_time_is_left) {
  call_requirements call = typical_call();
  const std::vector<candidate> busy = {make("a", {2, 2, 2, 1.0})};
  call.held_for = milliseconds(500);
  EXPECT_EQ(decide(busy, call).action, placement_action::wait);
  call.deadline_left = milliseconds(410);
  call.objective_left = milliseconds(100);
  EXPECT_EQ(decide(busy, call).action, placement_action::refuse);
}

TEST(saturated_service, late_call_probes_less_often_than_one_that_can_be_in_time) {
  call_requirements call = typical_call();
  const std::vector<candidate> busy = {make("a", {2, 2, 2, 1.0})};
  const base::duration in_time = decide(busy, call).pause;
  call.objective_left = milliseconds(100);
  EXPECT_GT(decide(busy, call).pause, 3 * in_time);
}

TEST(saturated_service, late_call_leaves_the_only_spare_slot_to_others) {
  call_requirements call = typical_call();
  call.objective_left = milliseconds(-50);
  EXPECT_EQ(decide({make("a", {1, 0, 2, 1.0})}, call).action, placement_action::wait);
  EXPECT_EQ(decide({make("a", {0, 0, 2, 1.0})}, call).action, placement_action::send);
  EXPECT_EQ(decide({make("a", {1, 0, 2, 1.0}), make("b", {1, 0, 2, 1.0})}, call).action,
            placement_action::send);
}

TEST(saturated_service, last_slot_is_no_spare_one_if_it_costs_more_than_it_adds) {
  call_requirements call = typical_call();
  call.objective_left = milliseconds(-50);
  const std::vector<candidate> last_slots = {make("a", {2, 0, 3, 1.0}), make("b", {2, 0, 3, 1.0})};
  call.service_time.saturated_slowdown = 1.4;
  EXPECT_EQ(decide(last_slots, call).action, placement_action::send);
  call.service_time.saturated_slowdown = 1.6;
  EXPECT_EQ(decide(last_slots, call).action, placement_action::wait);
}

// Otherwise a service whose machines are all slow would answer each call just before its deadline.
TEST(slow_service, call_takes_a_slow_slot_once_it_has_waited_as_long_as_the_slot_would_take) {
  call_requirements call = typical_call();
  const std::vector<candidate> slow = {make("a", {0, 0, 2, 4.0})};
  call.held_for = milliseconds(700);
  EXPECT_EQ(decide(slow, call).action, placement_action::wait);
  call.held_for = milliseconds(850);
  EXPECT_EQ(decide(slow, call).action, placement_action::send);
}

TEST(planned_stop, late_call_is_not_held) {
  call_requirements call = held_call();
  call.objective_left = milliseconds(-50);
  EXPECT_EQ(decide({make("a", {2, 0, 2, 1.0})}, call).action, placement_action::refuse);
}

TEST(outlier_upstream, outlier_is_chosen_only_if_others_are_much_slower) {
  candidate outlier = make("suspect", {0, 0, 2, 1.0});
  outlier.outlier = true;
  call_requirements call = held_call();
  EXPECT_EQ(decide({outlier, make("busy", {1, 0, 2, 1.5})}, call)
                .target.value_or(base::upstream_id())
                .value(),
            "busy");
  EXPECT_EQ(decide({outlier}, call).target.value_or(base::upstream_id()).value(), "suspect");
}

TEST(all_probes_lost, call_is_refused_after_searching_all_regions) {
  candidate silent;
  silent.id = base::upstream_id("a");
  EXPECT_EQ(decide({silent}, typical_call(), search_scope::region).action,
            placement_action::widen_search);
  call_requirements call = held_call();
  EXPECT_EQ(decide({silent}, call).action, placement_action::refuse);
}

RC_GTEST_PROP(placement, sends_only_to_probed_candidate_with_room_in_queue, ()) {
  std::vector<candidate> probed;
  const auto count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < count; ++i) {
    candidate one =
        make(std::to_string(i), {*rc::gen::inRange(0U, 4U), *rc::gen::inRange(0U, 9U),
                                 *rc::gen::inRange(1U, 4U), *rc::gen::inRange(1, 8) * 0.5});
    one.outlier = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
      one.probe.reset();
    }
    probed.push_back(one);
  }
  call_requirements call = typical_call();
  call.is_retry = *rc::gen::arbitrary<bool>();
  call.held_for = milliseconds(*rc::gen::inRange(0, 100));
  call.may_wait_for_slot = *rc::gen::arbitrary<bool>();
  call.objective_left = milliseconds(*rc::gen::inRange(-500, 600));
  const placement result = decide(
      probed, call,
      *rc::gen::element(search_scope::subset, search_scope::region, search_scope::everywhere));
  if (result.action == placement_action::send) {
    const auto chosen = std::find_if(probed.begin(), probed.end(),
                                     [&](const auto& one) { return one.id == *result.target; });
    RC_ASSERT(chosen != probed.end());
    RC_ASSERT(chosen->probe.has_value());
    RC_ASSERT(!result.expected.queue_full);
  } else if (result.action != placement_action::widen_search) {
    RC_ASSERT(result.pause > base::duration::zero());
  }
}

TEST(all_upstreams_paused,
     call_waits_if_one_resumes_within_the_hold_and_is_refused_at_once_if_not) {
  const call_requirements call = typical_call();
  const placement soon = place_paused_call(milliseconds(60), call, {}, no_jitter);
  EXPECT_EQ(soon.action, placement_action::wait);
  EXPECT_EQ(soon.pause, milliseconds(60));
  const placement late = place_paused_call(milliseconds(900), call, {}, no_jitter);
  EXPECT_EQ(late.action, placement_action::refuse);
  EXPECT_EQ(late.pause, milliseconds(900));
}

TEST(all_upstreams_paused, refused_callers_return_spread_over_one_service_time) {
  const auto latest = [] { return std::uint64_t{200'000}; };
  const placement result = place_paused_call(milliseconds(900), typical_call(), {}, latest);
  EXPECT_EQ(result.pause, milliseconds(1100));
}

}  // namespace
}  // namespace catkintack::choice
