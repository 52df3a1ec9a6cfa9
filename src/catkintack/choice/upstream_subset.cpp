#include "catkintack/choice/upstream_subset.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <tuple>
#include <utility>

namespace catkintack::choice {
namespace {

struct ranked_candidate {
  std::tuple<bool, upstream_distance, std::uint64_t> order;
  candidate upstream;
};

}  // namespace

upstream_subset select_subset(std::vector<candidate> region,
                              const base::host_id& host,
                              std::size_t size) {
  constexpr std::size_t min_primary = 2;
  constexpr std::size_t secondary_per_primary = 2;
  const std::uint64_t seed = XXH3_64bits(host.value().data(), host.value().size());
  std::vector<ranked_candidate> all;
  all.reserve(region.size());
  std::size_t own_domain = 0;
  for (candidate& entry : region) {
    const std::uint64_t hash =
        XXH3_64bits_withSeed(entry.id.value().data(), entry.id.value().size(), seed);
    own_domain +=
        !entry.outlier && entry.distance == upstream_distance::same_failure_domain ? 1 : 0;
    all.push_back({{entry.outlier, entry.distance, hash}, std::move(entry)});
  }
  const std::size_t primary =
      std::min(std::clamp(own_domain, std::min(min_primary, size), size), all.size());
  const std::size_t end = std::min(primary + secondary_per_primary * size, all.size());
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(primary);
  const auto last = all.begin() + static_cast<std::ptrdiff_t>(end);
  std::ranges::partial_sort(all, last, {}, &ranked_candidate::order);
  const auto move_out = [](ranked_candidate& entry) { return std::move(entry.upstream); };
  upstream_subset result;
  std::transform(all.begin(), middle, std::back_inserter(result.primary), move_out);
  std::transform(middle, last, std::back_inserter(result.secondary), move_out);
  return result;
}

}  // namespace catkintack::choice
