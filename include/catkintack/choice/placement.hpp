/// @file
/// Placement decision: send a call to an upstream, delay it or refuse it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/choice/call_requirements.hpp"
#include "catkintack/choice/candidate.hpp"
#include "catkintack/choice/completion_estimate.hpp"

namespace catkintack::choice {

/// @brief Limits of placement decisions.
struct placement_options {
  estimate_options estimate{};
  /// Largest sum of request and response, in bytes, that may leave the region to meet the latency
  /// objective. Cross-region traffic is billed by volume.
  std::uint64_t remote_byte_limit = 9000;
  /// Whether a caller's first attempt may also queue at an upstream when no slot is free. If not,
  /// it is refused, and the caller's retry may queue.
  bool queue_new_calls = false;
  /// Shortest pause between rounds of probes while all candidates are busy.
  base::duration probe_pause = std::chrono::milliseconds(12);
  /// Whether a call waits for a free slot here. If not, it is held for max_hold at most, and then
  /// queues at an upstream or is refused.
  bool wait_for_slot = true;
  base::duration min_retry_after = std::chrono::milliseconds(30);
  base::duration max_retry_after = std::chrono::milliseconds(1500);
};

/// @brief The action to take for a call.
enum class placement_action : std::uint8_t {
  send,          ///< Send the call to the chosen upstream.
  widen_search,  ///< Also probe the candidates of the next wider scope.
  wait,          ///< Probe again after a pause.
  refuse         ///< Answer "not run" at once.
};

/// @brief The result of a placement decision.
struct placement {
  placement_action action = placement_action::refuse;
  std::optional<base::upstream_id> target;  ///< Set if the action is send.
  completion_estimate expected;             ///< Estimate for the best candidate.
  base::duration pause{};  ///< wait: time until the next probes; refuse: Retry-After.
};

/// @brief The set of upstreams that a search has covered.
enum class search_scope : std::uint8_t {
  subset,  ///< The host's subset; the region has more candidates.
  region,  ///< The whole region; other regions may have more candidates.
  everywhere
};

/// @brief Decides where a call is sent, or whether it waits or is refused.
/// @param probed Candidates of the scope, after probing.
/// @param random Source of jitter for Retry-After, so that refused callers do not retry at the same
/// time.
placement place_call(const std::vector<candidate>& probed,
                     search_scope scope,
                     const call_requirements& call,
                     const placement_options& options,
                     const base::random_hook& random);

/// @brief Decides about a call while all upstreams that could be asked requested a pause or are at
/// their limits.
/// @param resumed_in Time until the first of them may accept requests again.
/// @param random Source of jitter for Retry-After.
placement place_paused_call(base::duration resumed_in,
                            const call_requirements& call,
                            const placement_options& options,
                            const base::random_hook& random);

}  // namespace catkintack::choice
