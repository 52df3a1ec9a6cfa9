#include "catkintack/choice/upstream_limits.hpp"

namespace catkintack::choice {

bool upstream_limits::on_named(const base::upstream_id& id, base::request_rate limit) {
  const auto [found, inserted] = limits_.try_emplace(id, limit);
  const bool changed = inserted || found->second != limit;
  found->second = limit;
  return changed;
}

std::optional<base::request_rate> upstream_limits::limit_of(const base::upstream_id& id) const {
  const auto found = limits_.find(id);
  return found == limits_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace catkintack::choice
