#include "catkintack/choice/residence.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace catkintack::choice {

residence residence::of(std::vector<base::region_id> listed) {
  residence result;
  result.restricted_ = !listed.empty();
  std::ranges::sort(listed);
  // The version of clang-tidy in use cannot compile std::ranges::unique.
  listed.erase(std::unique(listed.begin(), listed.end()), listed.end());
  result.regions_ = std::move(listed);
  return result;
}

residence residence::nowhere() {
  residence result;
  result.restricted_ = true;
  return result;
}

bool residence::allows(const base::region_id& region) const {
  return !restricted_ || (!region.empty() && std::ranges::binary_search(regions_, region));
}

residence residence::intersect(const residence& other) const {
  if (!restricted_) {
    return other;
  }
  if (!other.restricted_) {
    return *this;
  }
  residence result = nowhere();
  std::ranges::set_intersection(regions_, other.regions_, std::back_inserter(result.regions_));
  return result;
}

}  // namespace catkintack::choice
