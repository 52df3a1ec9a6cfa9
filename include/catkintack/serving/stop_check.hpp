/// @file
/// Decides which calls are still served while the host stops.
#pragma once

#include <string_view>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// Body of the response to a call that is refused by this check.
inline constexpr std::string_view refused_for_stop =
    "not run: this host stops before the call could end\n";

/// @brief Whether a call that is sent to an upstream or to another host now ends before the stop
/// limit, when open calls are cut. Always true while the host is not stopping.
///
/// Early in a stop an estimate is sufficient, so that most calls are served. Later, a call is sent
/// only if its deadline passes before the stop limit: an upstream may take longer than estimated.
/// @param expected Estimated time until the call ends.
bool ends_before_stop(const traffic_state& state, const call& served, base::duration expected);

/// @brief The same, with the typical service time of the call's route as the estimate.
bool ends_before_stop(const traffic_state& state, const call& served);

}  // namespace catkintack::serving
