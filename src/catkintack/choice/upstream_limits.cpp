#include "catkintack/choice/upstream_limits.hpp"

#include <cmath>

namespace catkintack::choice {
namespace {

// Relative difference at which a limit counts as changed.
constexpr double considerable_change = 0.1;

bool differs(const std::optional<base::request_rate>& before,
             const std::optional<base::request_rate>& after) {
  if (!before || !after) {
    return before.has_value() != after.has_value();
  }
  return std::abs(after->per_second() - before->per_second()) >
         considerable_change * before->per_second();
}

}  // namespace

bool upstream_limits::observe(const base::upstream_id& id, const limit_observation& seen) {
  const auto found = known_.find(id);
  if (found == known_.end() && !seen.limit) {
    return false;
  }
  record& known = found == known_.end() ? known_[id] : found->second;
  if (seen.observed_at <= known.latest.observed_at) {
    return false;
  }
  known.latest = seen;
  if (!differs(known.reported, seen.limit)) {
    return false;
  }
  known.reported = seen.limit;
  known.change = ++last_change_;
  return true;
}

std::optional<base::request_rate> upstream_limits::limit_of(const base::upstream_id& id) const {
  return observation_of(id).limit;
}

limit_observation upstream_limits::observation_of(const base::upstream_id& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? limit_observation{} : found->second.latest;
}

std::vector<std::pair<base::upstream_id, limit_observation>> upstream_limits::changed_since(
    std::uint64_t change) const {
  std::vector<std::pair<base::upstream_id, limit_observation>> result;
  for (const auto& [id, known] : known_) {
    if (known.change > change) {
      result.emplace_back(id, known.latest);
    }
  }
  return result;
}

}  // namespace catkintack::choice
