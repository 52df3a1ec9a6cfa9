/// @file
/// Where a call goes, or that it is refused.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/choice/call_requirements.hpp"
#include "catkintack/choice/candidate.hpp"
#include "catkintack/choice/completion_estimate.hpp"

namespace catkintack::choice {

/// @brief Limits of placement.
struct placement_options {
  estimate_options estimate{};
  /// Largest exchange that may leave the region to be served in time; bytes between regions are
  /// paid by volume.
  std::uint64_t remote_byte_limit = 9000;
  /// Whether a caller's first attempt may queue at an upstream, too, when no slot is free. If not,
  /// it is refused, and may queue when it comes back.
  bool queue_new_calls = false;
  /// Pause before the next probes while all candidates are busy.
  base::duration probe_pause = std::chrono::milliseconds(12);
  base::duration min_retry_after = std::chrono::milliseconds(30);
  base::duration max_retry_after = std::chrono::milliseconds(1500);
};

/// @brief What to do with a call.
enum class placement_action : std::uint8_t {
  send,          ///< Send it to the chosen upstream.
  widen_search,  ///< Probe the candidates of the next wider scope too.
  wait,          ///< Probe again after a pause.
  refuse         ///< Answer "not run" at once.
};

/// @brief The outcome of one placement.
struct placement {
  placement_action action = placement_action::refuse;
  std::optional<base::upstream_id> target;  ///< Set for send.
  completion_estimate expected;             ///< Of the best candidate.
  base::duration pause{};  ///< For wait the time to the next probes, for refuse Retry-After.
};

/// @brief How far a search for an upstream has come.
enum class search_scope : std::uint8_t {
  subset,  ///< There are more candidates in the region.
  region,  ///< There may be more in other regions.
  everywhere
};

/// @brief Decides one call.
/// @param probed Candidates of the scope.
/// @param scope Where they are from.
/// @param need The call.
/// @param options Limits.
/// @param random Spreads Retry-After, so that refused callers do not return together.
/// @return The decision.
placement place_call(const std::vector<candidate>& probed,
                     search_scope scope,
                     const call_requirements& call,
                     const placement_options& options,
                     const base::random_hook& random);

}  // namespace catkintack::choice
