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
                              const call_need& need,
                              const placement_options& options) {
  std::optional<ranked> best;
  base::duration best_score{};
  for (const candidate& one : probed) {
    if (!one.reading) {
      continue;
    }
    const completion_estimate expected = estimate_completion(one, need.work, options.estimate);
    const base::duration score = one.suspect ? expected.total * suspect_penalty : expected.total;
    if (!best || score < best_score) {
      best = ranked{&one, expected};
      best_score = score;
    }
  }
  return best;
}

base::duration retry_after(const std::optional<ranked>& best,
                           const call_need& need,
                           const placement_options& options,
                           const base::random_hook& random) {
  // What the best upstream has before it must have run before a new call finds a free slot.
  const base::duration queue = best ? best->expected.total - need.work.usual : need.work.usual;
  const base::duration base =
      std::clamp(queue / 2, options.shortest_retry_after, options.longest_retry_after);
  return base + base::duration(static_cast<base::duration::rep>(
                    random() % static_cast<std::uint64_t>(base.count() + 1)));
}

// A queue may grow before the call arrives, so its estimate needs room.
constexpr double queue_margin = 1.3;

bool in_time(const ranked& best, const call_need& need) {
  const double margin = best.expected.waits ? queue_margin : 1.0;
  return best.expected.total * margin <= need.objective_left;
}

}  // namespace

placement place_call(const std::vector<candidate>& probed,
                     search_scope scope,
                     const call_need& need,
                     const placement_options& options,
                     const base::random_hook& random) {
  const std::optional<ranked> best = best_of(probed, need, options);
  placement result;
  if (best) {
    result.expected = best->expected;
  }
  const bool good = best && !best->expected.full && !best->who->suspect && in_time(*best, need);
  const bool timely_chance = need.objective_left > need.work.usual;
  const bool worth_bytes =
      timely_chance && need.may_leave_region && need.remote_bytes <= options.remote_byte_limit;
  if (scope == search_scope::neighbourhood && (!good || best->expected.waits)) {
    result.action = placement_action::look_further;
    return result;
  }
  if (!good && scope == search_scope::region && (!best || worth_bytes)) {
    result.action = placement_action::look_further;
    return result;
  }
  if (!good && timely_chance && need.held + options.probe_pause < need.may_hold) {
    result.action = placement_action::wait;
    result.pause = options.probe_pause;
    return result;
  }
  const bool fits_deadline = best && best->expected.total < need.deadline_left;
  const bool acceptable = best && !best->expected.full && fits_deadline &&
                          (!best->expected.waits || need.returned || options.queue_new_calls);
  if (good || acceptable) {
    result.action = placement_action::send;
    result.target = best->who->id;
    return result;
  }
  result.action = placement_action::refuse;
  result.pause = retry_after(best, need, options, random);
  return result;
}

}  // namespace catkintack::choice
