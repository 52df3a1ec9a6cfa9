/// @file
/// Which upstreams are worth a probe for one call.
#pragma once

#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/choice/candidate.hpp"

namespace catkintack::choice {

/// @brief Chooses candidates to probe.
/// @param candidates All that may get the call; none may have been tried for it before.
/// @param count How many to probe at most.
/// @param random Draws among equals.
/// @return Those to probe: sound ones before suspect ones, the nearer region first, and within
/// that at random, so that hosts do not flock to one upstream.
std::vector<candidate> select_probe_targets(std::vector<candidate> candidates,
                                            std::size_t count,
                                            const base::random_hook& random);

}  // namespace catkintack::choice
