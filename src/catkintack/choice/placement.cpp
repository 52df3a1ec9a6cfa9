#include "catkintack/choice/placement.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

struct ranked {
  const candidate* who = nullptr;
  completion_estimate expected;
};

// A suspect upstream is chosen only when the others would be this much slower.
constexpr int suspect_penalty = 4;

std::optional<ranked> best_of(const std::vector<candidate>& probed,
                              const call_requirements& call,
                              const placement_options& options) {
  std::optional<ranked> best;
  base::duration best_score{};
  for (const candidate& one : probed) {
    if (!one.probe) {
      continue;
    }
    const completion_estimate expected =
        estimate_completion(one, call.service_time, options.estimate);
    const base::duration score = one.outlier ? expected.total * suspect_penalty : expected.total;
    if (!best || score < best_score) {
      best = ranked{&one, expected};
      best_score = score;
    }
  }
  return best;
}

base::duration retry_after(const std::optional<ranked>& best,
                           const call_requirements& call,
                           const placement_options& options,
                           const base::random_hook& random) {
  // What the best upstream has before it must have run before a new call finds a free slot.
  const base::duration queue =
      best ? best->expected.total - call.service_time.typical : call.service_time.typical;
  const base::duration base =
      std::clamp(queue / 2, options.min_retry_after, options.max_retry_after);
  return base + base::duration(static_cast<base::duration::rep>(
                    random() % static_cast<std::uint64_t>(base.count() + 1)));
}

// A queue may grow before the call arrives, so its estimate needs room.
constexpr double queue_margin = 1.3;

bool in_time(const ranked& best, const call_requirements& call) {
  const double margin = best.expected.would_queue ? queue_margin : 1.0;
  return best.expected.total * margin <= call.objective_left;
}

}  // namespace

placement place_call(const std::vector<candidate>& probed,
                     search_scope scope,
                     const call_requirements& call,
                     const placement_options& options,
                     const base::random_hook& random) {
  const std::optional<ranked> best = best_of(probed, call, options);
  placement result;
  if (best) {
    result.expected = best->expected;
  }
  const bool good =
      best && !best->expected.queue_full && !best->who->outlier && in_time(*best, call);
  const bool timely_chance = call.objective_left > call.service_time.typical;
  const bool worth_bytes =
      timely_chance && call.may_leave_region && call.remote_bytes <= options.remote_byte_limit;
  if (scope == search_scope::subset && (!good || best->expected.would_queue)) {
    result.action = placement_action::widen_search;
    return result;
  }
  if (!good && scope == search_scope::region && (!best || worth_bytes)) {
    result.action = placement_action::widen_search;
    return result;
  }
  if (!good && timely_chance && call.held_for + options.probe_pause < call.max_hold) {
    result.action = placement_action::wait;
    result.pause = options.probe_pause;
    return result;
  }
  const bool fits_deadline = best && best->expected.total < call.deadline_left;
  const bool acceptable = best && !best->expected.queue_full && fits_deadline &&
                          (!best->expected.would_queue || call.is_retry || options.queue_new_calls);
  if (good || acceptable) {
    result.action = placement_action::send;
    result.target = best->who->id;
    return result;
  }
  result.action = placement_action::refuse;
  result.pause = retry_after(best, call, options, random);
  return result;
}

}  // namespace catkintack::choice
