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

// A call that can meet its objective probes this often within one service time, in which each slot
// becomes free once.
constexpr int rounds_per_service_time = 6;
// Typical service times that are left for the call itself when it stops waiting: the slot that
// remains may be a slow one.
constexpr int service_times_kept = 2;

/// @brief Whether a call that cannot meet its objective may take a slot now: the upstreams have one
/// left for a call that still can, or the only upstream that could be probed is idle.
bool has_slot_for_late_call(const std::vector<candidate>& probed,
                            const ranked_candidate& best,
                            const call_requirements& call,
                            const placement_options& options) {
  if (best.expected.spare_slots == 0) {
    return false;
  }
  std::uint32_t spare_slots = 0;
  for (const candidate& entry : probed) {
    if (entry.probe && !entry.outlier) {
      spare_slots += estimate_completion(entry, call.service_time, options.estimate).spare_slots;
    }
  }
  const probe_result reading = best.upstream->probe.value_or(probe_result{});
  const bool idle = reading.running + reading.queued + best.upstream->sent_since_probe == 0;
  return spare_slots > 1 || (idle && probed.size() == 1);
}

/// @brief Returns the pause until the upstreams are probed again, or nothing if the call must not
/// wait any longer.
std::optional<base::duration> pause_before_retry(const std::optional<ranked_candidate>& best,
                                                 const call_requirements& call,
                                                 bool objective_reachable,
                                                 const placement_options& options) {
  const base::duration typical = call.service_time.typical;
  if (options.wait_for_slot && call.may_wait_for_slot && best && !best->upstream->outlier) {
    // Calls that missed their objective probe less often, so that those which can still meet theirs
    // find the free slots first.
    const base::duration interval =
        objective_reachable ? typical / rounds_per_service_time : typical;
    const base::duration pause = std::max(options.probe_pause, interval);
    const base::duration left = call.deadline_left - pause;
    // A slow free slot is taken once the call has waited for as long as it would have run there, or
    // before it would end after the deadline.
    const base::duration total = best->expected.total;
    const bool takes_slow_slot = !best->expected.would_queue && total < call.deadline_left &&
                                 (call.held_for >= total || total >= left);
    if (!takes_slow_slot && left > typical * service_times_kept) {
      return pause;
    }
  }
  if (objective_reachable && call.held_for + options.probe_pause < call.max_hold) {
    return options.probe_pause;
  }
  return std::nullopt;
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
  const bool usable = best && !best->expected.queue_full && !best->upstream->outlier;
  const bool objective_reachable = call.objective_left > call.service_time.typical;
  const bool fits_deadline = best && best->expected.total < call.deadline_left;
  const bool well_placed =
      usable && (in_time(*best, call) || (!objective_reachable && fits_deadline &&
                                          has_slot_for_late_call(probed, *best, call, options)));
  const bool may_use_remote = objective_reachable && call.may_leave_region &&
                              call.remote_bytes <= options.remote_byte_limit;
  if (scope == search_scope::subset && (!well_placed || best->expected.would_queue)) {
    result.action = placement_action::widen_search;
    return result;
  }
  if (!well_placed && scope == search_scope::region && (!best || may_use_remote)) {
    result.action = placement_action::widen_search;
    return result;
  }
  if (!well_placed) {
    if (const auto pause = pause_before_retry(best, call, objective_reachable, options)) {
      result.action = placement_action::wait;
      result.pause = *pause;
      return result;
    }
  }
  const bool acceptable = best && !best->expected.queue_full && fits_deadline &&
                          (!best->expected.would_queue || call.is_retry || options.queue_new_calls);
  if (well_placed || acceptable) {
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
