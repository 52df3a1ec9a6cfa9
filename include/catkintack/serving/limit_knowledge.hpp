/// @file
/// Changes to what is known about the limits of upstreams.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/upstream_limits.hpp"

namespace catkintack::serving {

struct traffic_state;

/// @brief Who saw that a limit changed.
enum class limit_observer : std::uint8_t { this_host, other_host };

/// @brief Records that an upstream named a limit in a response, or none in its answer to a call.
/// @param source The kind of response, for the log.
void observe_limit(traffic_state& state,
                   const base::upstream_id& upstream,
                   const std::optional<base::request_rate>& limit,
                   const std::string& source);

/// @brief Records what another host knows about the limit of an upstream.
/// @param source The host, for the log.
void adopt_limit(traffic_state& state,
                 const base::upstream_id& upstream,
                 const choice::limit_state& reported,
                 const std::string& source);

}  // namespace catkintack::serving
