/// @file
/// Records what this host or another one observed about the limit of an upstream.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/limit_observation.hpp"

namespace catkintack::serving {

struct traffic_state;

/// @brief Who observed a limit.
enum class limit_observer : std::uint8_t { this_host, other_host };

/// @brief Records an observation. If the limit began, ended or changed considerably, logs it and
/// calls the hook for changed limits.
/// @param source What the observation stems from, for the log.
void observe_limit(traffic_state& state,
                   const base::upstream_id& upstream,
                   const choice::limit_observation& seen,
                   limit_observer observer,
                   const std::string& source);

}  // namespace catkintack::serving
