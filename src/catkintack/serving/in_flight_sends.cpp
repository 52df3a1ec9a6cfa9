#include "catkintack/serving/in_flight_sends.hpp"

#include <algorithm>

namespace catkintack::serving {

void in_flight_sends::end(const base::upstream_id& id, base::instant started_at) {
  const auto found = started_.find(id);
  if (found == started_.end()) {
    return;
  }
  const auto one = std::ranges::find(found->second, started_at);
  if (one != found->second.end()) {
    found->second.erase(one);
  }
  if (found->second.empty()) {
    started_.erase(found);
  }
}

std::uint32_t in_flight_sends::started_after(const base::upstream_id& id,
                                             base::instant read_at) const {
  const auto found = started_.find(id);
  return found == started_.end()
             ? 0
             : static_cast<std::uint32_t>(std::ranges::count_if(
                   found->second, [&](base::instant started_at) { return started_at > read_at; }));
}

std::uint32_t in_flight_sends::count(const base::upstream_id& id) const {
  const auto found = started_.find(id);
  return found == started_.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

}  // namespace catkintack::serving
