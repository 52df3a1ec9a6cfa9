/// @file
/// Selection of the upstreams to probe for a call.
#pragma once

#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/choice/candidate.hpp"

namespace catkintack::choice {

/// @brief Selects candidates to probe.
/// @param candidates All eligible upstreams, without those already tried for this call.
/// @param count Maximum number of candidates to probe.
/// @param random Breaks ties.
/// @return The selected candidates, healthy ones before outliers, then this region before others.
/// Equally ranked candidates are in random order, so that hosts do not all select the same
/// upstream.
std::vector<candidate> select_probe_targets(std::vector<candidate> candidates,
                                            std::size_t count,
                                            const base::random_hook& random);

}  // namespace catkintack::choice
