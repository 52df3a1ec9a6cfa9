#include "catkintack/serving/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::serving {

bool connection_pool::idle_too_long(const upstream_connection& one, base::instant now) const {
  // The upstream counts its idle timeout from when it sent its last byte, which is earlier than
  // when that byte arrived here.
  constexpr base::duration margin = std::chrono::milliseconds(500);
  const base::duration limit = one.idle_timeout > base::duration::zero()
                                   ? std::min(one.idle_timeout - margin, max_idle_time_)
                                   : max_idle_time_;
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
    if (!idle_too_long(*last, now) && last->reusable()) {
      return last;
    }
  }
  return nullptr;
}

void connection_pool::release(std::unique_ptr<upstream_connection> used, base::instant now) {
  if (!used || !used->reusable()) {
    return;
  }
  used->idle_since = now;
  auto& connections = idle_[used->upstream];
  if (connections.size() < max_idle_per_upstream_) {
    connections.push_back(std::move(used));
  }
}

void connection_pool::expire(base::instant now) {
  for (auto& [id, connections] : idle_) {
    std::erase_if(connections, [&](const auto& one) { return idle_too_long(*one, now); });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace catkintack::serving
