#include "catkintack/choice/upstream_pauses.hpp"

#include <algorithm>

namespace catkintack::choice {

void upstream_pauses::on_request(const base::upstream_id& id,
                                 base::duration requested,
                                 base::instant now) {
  if (requested <= base::duration::zero()) {
    return;
  }
  base::instant& end = ends_.try_emplace(id, base::instant::min()).first->second;
  end = std::max(end, now + std::min(requested, longest_));
}

std::optional<base::instant> upstream_pauses::end_of(const base::upstream_id& id,
                                                     base::instant now) const {
  const auto found = ends_.find(id);
  return found == ends_.end() || found->second <= now ? std::nullopt : std::optional(found->second);
}

}  // namespace catkintack::choice
