#include "catkintack/choice/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;

const base::random_hook no_spread = [] { return std::uint64_t{0}; };

candidate make(std::string id,
               probe_result reading,
               upstream_distance distance = upstream_distance::same_region) {
  candidate result;
  result.id = base::upstream_id(std::move(id));
  result.distance = distance;
  result.probe = reading;
  return result;
}

call_requirements typical_call() {
  return {.service_time = {.typical = milliseconds(200), .saturated_slowdown = 1.5},
          .objective_left = milliseconds(600),
          .deadline_left = milliseconds(4000),
          .max_hold = milliseconds(75),
          .remote_bytes = 1500};
}

placement decide(const std::vector<candidate>& probed,
                 const call_requirements& call,
                 search_scope scope = search_scope::everywhere,
                 const placement_options& options = {}) {
  return place_call(probed, scope, call, options, no_spread);
}

TEST(noisy_neighbour, idle_upstream_on_a_slow_machine_loses_to_a_busier_one_on_a_quick_machine) {
  const placement result =
      decide({make("slow", {0, 0, 2, 4.0}), make("quick", {1, 0, 2, 1.0})}, typical_call());
  EXPECT_EQ(result.action, placement_action::send);
  EXPECT_EQ(result.target.value_or(base::upstream_id()).value(), "quick");
}

TEST(noisy_neighbour, call_waits_for_a_quick_machine_while_it_may_be_held) {
  call_requirements call = typical_call();
  const std::vector<candidate> all_slow = {make("a", {0, 0, 2, 4.0}), make("b", {0, 0, 2, 4.0})};
  EXPECT_EQ(decide(all_slow, call, search_scope::everywhere).action, placement_action::wait);
  call.held_for = milliseconds(70);
  EXPECT_EQ(decide(all_slow, call, search_scope::everywhere).action, placement_action::send);
}

TEST(burst_on_one_region, call_leaves_the_region_only_if_its_bytes_are_few_and_paid_for) {
  call_requirements call = typical_call();
  const std::vector<candidate> full = {make("a", {2, 3, 2, 1.0})};
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::widen_search);
  call.may_leave_region = false;
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::wait);
  call.may_leave_region = true;
  call.remote_bytes = 20000;
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::wait);
  call.held_for = milliseconds(70);
  EXPECT_EQ(decide(full, call, search_scope::region).action, placement_action::refuse);
}

TEST(burst_on_one_failure_domain, call_looks_beyond_its_neighbourhood_before_it_queues) {
  const call_requirements call = typical_call();
  const std::vector<candidate> busy = {make("a", {2, 0, 2, 1.0})};
  EXPECT_EQ(decide(busy, call, search_scope::subset).action, placement_action::widen_search);
  EXPECT_EQ(decide(busy, call, search_scope::region).action, placement_action::send);
  const std::vector<candidate> idle = {make("a", {1, 0, 2, 1.0})};
  EXPECT_EQ(decide(idle, call, search_scope::subset).action, placement_action::send);
}

TEST(burst_on_one_failure_domain, neighbourhood_without_answers_refuses_nothing) {
  call_requirements call = typical_call();
  call.may_leave_region = false;
  EXPECT_EQ(decide({}, call, search_scope::subset).action, placement_action::widen_search);
}

TEST(short_queue, call_that_is_still_in_time_is_not_sent_away) {
  call_requirements call = typical_call();
  call.objective_left = milliseconds(900);
  EXPECT_EQ(decide({make("a", {2, 0, 2, 1.0})}, call, search_scope::region).action,
            placement_action::send);
}

TEST(burst_on_one_region, free_upstream_of_another_region_takes_the_call) {
  const placement result = decide({make("here", {2, 3, 2, 1.0}),
                                   make("there", {0, 0, 2, 1.0}, upstream_distance::other_region)},
                                  typical_call());
  EXPECT_EQ(result.action, placement_action::send);
  EXPECT_EQ(result.target.value_or(base::upstream_id()).value(), "there");
}

TEST(burst_everywhere, first_call_is_refused_when_it_would_be_late_unless_settings_let_it_queue) {
  call_requirements call = typical_call();
  call.held_for = milliseconds(75);
  const std::vector<candidate> busy = {make("a", {2, 1, 2, 1.0})};
  EXPECT_EQ(decide(busy, call, search_scope::everywhere, {.queue_new_calls = true}).action,
            placement_action::send);
  const placement result = decide(busy, call);
  EXPECT_EQ(result.action, placement_action::refuse);
  EXPECT_GT(result.pause, base::duration::zero());
}

TEST(burst_everywhere, caller_that_came_back_may_queue) {
  call_requirements call = typical_call();
  call.held_for = milliseconds(75);
  call.is_retry = true;
  EXPECT_EQ(decide({make("a", {2, 1, 2, 1.0})}, call).action, placement_action::send);
}

TEST(burst_everywhere, nobody_is_sent_to_a_full_queue) {
  call_requirements call = typical_call();
  call.held_for = milliseconds(75);
  call.is_retry = true;
  EXPECT_EQ(decide({make("a", {2, 4, 2, 1.0})}, call).action, placement_action::refuse);
}

TEST(burst_everywhere, retry_after_grows_with_the_queue) {
  call_requirements call = typical_call();
  call.held_for = milliseconds(75);
  const placement_options strict{.queue_new_calls = false};
  const auto short_queue =
      decide({make("a", {2, 1, 2, 1.0})}, call, search_scope::everywhere, strict);
  const auto long_queue =
      decide({make("a", {2, 4, 2, 4.0})}, call, search_scope::everywhere, strict);
  EXPECT_GT(long_queue.pause, short_queue.pause);
}

TEST(grey_upstream, suspect_is_chosen_only_when_the_others_are_far_worse) {
  candidate outlier = make("suspect", {0, 0, 2, 1.0});
  outlier.outlier = true;
  call_requirements call = typical_call();
  call.held_for = milliseconds(75);
  EXPECT_EQ(decide({outlier, make("busy", {1, 0, 2, 1.5})}, call)
                .target.value_or(base::upstream_id())
                .value(),
            "busy");
  EXPECT_EQ(decide({outlier}, call).target.value_or(base::upstream_id()).value(), "suspect");
}

TEST(all_probes_lost, call_is_refused_after_looking_everywhere) {
  candidate silent;
  silent.id = base::upstream_id("a");
  EXPECT_EQ(decide({silent}, typical_call(), search_scope::region).action,
            placement_action::widen_search);
  call_requirements call = typical_call();
  call.held_for = milliseconds(75);
  EXPECT_EQ(decide({silent}, call).action, placement_action::refuse);
}

RC_GTEST_PROP(placement, sends_only_to_a_candidate_that_answered_and_is_not_full, ()) {
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

}  // namespace
}  // namespace catkintack::choice
