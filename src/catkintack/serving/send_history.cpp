#include "catkintack/serving/send_history.hpp"

#include <algorithm>

namespace catkintack::serving {

void send_history::end(const base::upstream_id& id, base::instant began) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  const auto one = std::ranges::find(found->second, began);
  if (one != found->second.end()) {
    found->second.erase(one);
  }
  if (found->second.empty()) {
    open_.erase(found);
  }
}

std::uint32_t send_history::since(const base::upstream_id& id, base::instant reading) const {
  const auto found = open_.find(id);
  return found == open_.end()
             ? 0
             : static_cast<std::uint32_t>(std::ranges::count_if(
                   found->second, [&](base::instant began) { return began > reading; }));
}

std::uint32_t send_history::open(const base::upstream_id& id) const {
  const auto found = open_.find(id);
  return found == open_.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

}  // namespace catkintack::serving
