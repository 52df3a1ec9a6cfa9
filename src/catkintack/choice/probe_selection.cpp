#include "catkintack/choice/probe_selection.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::choice {
namespace {

int rank(const candidate& entry) {
  return (entry.outlier ? 2 : 0) + (entry.distance == upstream_distance::other_region ? 1 : 0);
}

}  // namespace

std::vector<candidate> select_probe_targets(std::vector<candidate> candidates,
                                            std::size_t count,
                                            const base::random_hook& random) {
  for (std::size_t i = candidates.size(); i > 1; --i) {
    std::swap(candidates[i - 1], candidates[random() % i]);
  }
  std::ranges::stable_sort(candidates, {}, rank);
  // The version of clang-tidy in use cannot compile std::ranges::stable_partition.
  std::stable_partition(candidates.begin(), candidates.end(),
                        [](const candidate& entry) { return entry.permitted && !entry.outlier; });
  candidates.resize(std::min(candidates.size(), count));
  return candidates;
}

}  // namespace catkintack::choice
