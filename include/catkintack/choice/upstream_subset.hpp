/// @file
/// Deterministic subset of a region's upstreams that one host uses.
#pragma once

#include <cstddef>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/candidate.hpp"

namespace catkintack::choice {

/// @brief The subset of a region that one host uses, in order of preference.
struct upstream_subset {
  std::vector<candidate> primary;    ///< Probed first, so that connections to them are reused.
  std::vector<candidate> secondary;  ///< Probed when the primary ones are busy.
};

/// @brief Selects the subset of a region's candidates that a host uses.
///
/// Primary candidates are those of the host's own failure domain, because traffic to other domains
/// is billed, or two candidates if the domain has fewer. Ties are broken by a hash of host and
/// upstream id: upstreams are spread evenly over hosts, and adding or removing an upstream changes
/// one place in a subset. Outliers come last.
/// @param region Candidates of the host's region.
/// @param size Maximum number of primary candidates; the number of secondary ones is at most twice
/// as large.
upstream_subset select_subset(std::vector<candidate> region,
                              const base::host_id& host,
                              std::size_t size);

}  // namespace catkintack::choice
