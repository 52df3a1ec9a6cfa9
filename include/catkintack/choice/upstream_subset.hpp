/// @file
/// The few upstreams of a region that one host asks first.
#pragma once

#include <cstddef>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/candidate.hpp"

namespace catkintack::choice {

/// @brief Candidates of a region in the order in which one host turns to them.
struct upstream_subset {
  std::vector<candidate> primary;    ///< Asked first, so that connections to them stay in use.
  std::vector<candidate> secondary;  ///< Asked when the near ones are busy.
};

/// @brief Chooses the candidates that a host turns to.
///
/// Near ones are those of the host's own failure domain, as bytes to others are paid, or two if it
/// has fewer. Among equals the host and the upstream's id select together: hosts share upstreams
/// evenly, and an upstream that comes or goes changes one place. Suspects come last.
/// @param region Candidates of the host's region.
/// @param host The host.
/// @param size How many are near at most; twice as many come after them.
upstream_subset select_subset(std::vector<candidate> region,
                              const base::host_id& host,
                              std::size_t size);

}  // namespace catkintack::choice
