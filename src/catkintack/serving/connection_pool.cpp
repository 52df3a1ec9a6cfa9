#include "catkintack/serving/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::serving {

bool connection_pool::too_old(const upstream_connection& one, base::instant now) const {
  // An announced limit counts from the upstream's last byte, which was sent before it came here.
  constexpr base::duration margin = std::chrono::milliseconds(500);
  const base::duration limit = one.idle_limit > base::duration::zero()
                                   ? std::min(one.idle_limit - margin, longest_idle_)
                                   : longest_idle_;
  return now - one.idle_since > limit;
}

std::unique_ptr<upstream_connection> connection_pool::take(const base::upstream_id& id,
                                                           base::instant now) {
  const auto found = idle_.find(id);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    std::unique_ptr<upstream_connection> last = std::move(connections.back());
    connections.pop_back();
    if (!too_old(*last, now) && last->reusable()) {
      return last;
    }
  }
  return nullptr;
}

void connection_pool::give_back(std::unique_ptr<upstream_connection> used, base::instant now) {
  if (!used || !used->reusable()) {
    return;
  }
  used->idle_since = now;
  auto& connections = idle_[used->upstream];
  if (connections.size() < per_upstream_) {
    connections.push_back(std::move(used));
  }
}

void connection_pool::expire(base::instant now) {
  for (auto& [id, connections] : idle_) {
    std::erase_if(connections, [&](const auto& one) { return too_old(*one, now); });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace catkintack::serving
