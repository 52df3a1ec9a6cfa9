#include "catkintack/choice/placement.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

struct ranked_candidate {
  const candidate* upstream = nullptr;
  completion_estimate expected;
};

// An outlier is chosen only if all other candidates would be slower by this factor.
constexpr int outlier_penalty = 4;

std::optional<ranked_candidate> best_of(const std::vector<candidate>& probed,
                                        const call_requirements& call,
                                        const placement_options& options) {
  std::optional<ranked_candidate> best;
  base::duration best_score{};
  for (const candidate& entry : probed) {
    if (!entry.probe) {
      continue;
    }
    const completion_estimate expected =
        estimate_completion(entry, call.service_time, options.estimate);
    base::duration score = entry.outlier ? expected.total * outlier_penalty : expected.total;
    if (entry.permitted && !entry.outlier && !expected.would_queue && !expected.queue_full &&
        expected.total <= call.objective_left) {
      score = base::duration::zero();
    }
    if (!best || score < best_score) {
      best = ranked_candidate{&entry, expected};
      best_score = score;
    }
  }
  return best;
}

base::duration retry_after(const std::optional<ranked_candidate>& best,
                           const call_requirements& call,
                           const placement_options& options,
                           const base::random_hook& random) {
  // The backlog of the best upstream must complete before a new call finds a free slot.
  const base::duration backlog =
      best ? best->expected.total - call.service_time.typical : call.service_time.typical;
  const base::duration base =
      std::clamp(backlog / 2, options.min_retry_after, options.max_retry_after);
  return base + base::duration(static_cast<base::duration::rep>(
                    random() % static_cast<std::uint64_t>(base.count() + 1)));
}

// The queue may grow before the call arrives, so the estimate needs a margin.
constexpr double queue_margin = 1.3;

bool in_time(const ranked_candidate& best, const call_requirements& call) {
  const double margin = best.expected.would_queue ? queue_margin : 1.0;
  return best.expected.total * margin <= call.objective_left;
}

}  // namespace

placement place_call(const std::vector<candidate>& probed,
                     search_scope scope,
                     const call_requirements& call,
                     const placement_options& options,
                     const base::random_hook& random) {
  const std::optional<ranked_candidate> best = best_of(probed, call, options);
  placement result;
  if (best) {
    result.expected = best->expected;
  }
  const bool meets_objective =
      best && !best->expected.queue_full && !best->upstream->outlier && in_time(*best, call);
  const bool objective_reachable = call.objective_left > call.service_time.typical;
  const bool may_use_remote = objective_reachable && call.may_leave_region &&
                              call.remote_bytes <= options.remote_byte_limit;
  if (scope == search_scope::subset && (!meets_objective || best->expected.would_queue)) {
    result.action = placement_action::widen_search;
    return result;
  }
  if (!meets_objective && scope == search_scope::region && (!best || may_use_remote)) {
    result.action = placement_action::widen_search;
    return result;
  }
  if (!meets_objective && objective_reachable &&
      call.held_for + options.probe_pause < call.max_hold) {
    result.action = placement_action::wait;
    result.pause = options.probe_pause;
    return result;
  }
  const bool fits_deadline = best && best->expected.total < call.deadline_left;
  const bool acceptable = best && !best->expected.queue_full && fits_deadline &&
                          (!best->expected.would_queue || call.is_retry || options.queue_new_calls);
  if (meets_objective || acceptable) {
    result.action = placement_action::send;
    result.target = best->upstream->id;
    return result;
  }
  result.action = placement_action::refuse;
  result.pause = retry_after(best, call, options, random);
  return result;
}

placement place_paused_call(base::duration resumed_in,
                            const call_requirements& call,
                            const placement_options& options,
                            const base::random_hook& random) {
  placement result;
  if (call.held_for + resumed_in < call.max_hold) {
    result.action = placement_action::wait;
    result.pause = std::max(resumed_in, options.probe_pause);
    return result;
  }
  result.action = placement_action::refuse;
  // The callers that were refused meanwhile return one after the other within one service time.
  const auto spread = static_cast<std::uint64_t>(call.service_time.typical.count());
  result.pause = std::max(resumed_in, options.min_retry_after) +
                 base::duration(static_cast<base::duration::rep>(random() % (spread + 1)));
  return result;
}

}  // namespace catkintack::choice
