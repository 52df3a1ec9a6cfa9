#include "catkintack/choice/upstream_subset.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <tuple>
#include <utility>

namespace catkintack::choice {
namespace {

struct placed {
  std::tuple<bool, upstream_distance, std::uint64_t> order;
  candidate who;
};

}  // namespace

upstream_subset select_subset(std::vector<candidate> region,
                              const base::host_id& host,
                              std::size_t size) {
  constexpr std::size_t least_near = 2;
  constexpr std::size_t rest_per_near = 2;
  const std::uint64_t seed = XXH3_64bits(host.value().data(), host.value().size());
  std::vector<placed> all;
  all.reserve(region.size());
  std::size_t own_domain = 0;
  for (candidate& one : region) {
    const std::uint64_t draw =
        XXH3_64bits_withSeed(one.id.value().data(), one.id.value().size(), seed);
    own_domain += !one.outlier && one.distance == upstream_distance::same_failure_domain ? 1 : 0;
    all.push_back({{one.outlier, one.distance, draw}, std::move(one)});
  }
  const std::size_t near =
      std::min(std::clamp(own_domain, std::min(least_near, size), size), all.size());
  const std::size_t end = std::min(near + rest_per_near * size, all.size());
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(near);
  const auto last = all.begin() + static_cast<std::ptrdiff_t>(end);
  std::ranges::partial_sort(all, last, {}, &placed::order);
  const auto move_out = [](placed& one) { return std::move(one.who); };
  upstream_subset result;
  std::transform(all.begin(), middle, std::back_inserter(result.primary), move_out);
  std::transform(middle, last, std::back_inserter(result.secondary), move_out);
  return result;
}

}  // namespace catkintack::choice
