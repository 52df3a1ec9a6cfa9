#include "catkintack/choice/upstream_limits.hpp"

#include <chrono>
#include <cmath>
#include <limits>

namespace catkintack::choice {
namespace {

// Relative difference at which a limit counts as changed.
constexpr double considerable_change = 0.1;
// Time between two changes of a value.
constexpr base::duration change_interval = std::chrono::seconds(2);
// An answer without a limit may overtake, or have been begun before, one that names it.
constexpr base::duration overtaking_time = std::chrono::seconds(1);

bool differs(const std::optional<base::request_rate>& before, base::request_rate after) {
  return !before || std::abs(after.per_second() - before->per_second()) >
                        considerable_change * before->per_second();
}

double allowed(const limit_state& state) {
  return state.limit ? state.limit->per_second() : std::numeric_limits<double>::infinity();
}

}  // namespace

void upstream_limits::change_to(record& known, const limit_state& state, base::instant now) {
  known.state = state;
  known.latest = state.limit;
  known.changed_at = now;
  known.change = ++last_change_;
}

bool upstream_limits::on_named(const base::upstream_id& id,
                               base::request_rate limit,
                               base::instant now) {
  record& known = known_[id];
  known.named_at = now;
  const bool too_soon = known.state.limit && now - known.changed_at < change_interval;
  if (too_soon || !differs(known.state.limit, limit)) {
    known.latest = limit;
    return false;
  }
  change_to(known, {.limit = limit, .version = known.state.version + 1}, now);
  return true;
}

bool upstream_limits::on_not_named(const base::upstream_id& id, base::instant now) {
  const auto found = known_.find(id);
  if (found == known_.end() || !found->second.state.limit ||
      now - found->second.named_at < overtaking_time) {
    return false;
  }
  change_to(found->second, {.version = found->second.state.version + 1}, now);
  return true;
}

bool upstream_limits::on_report(const base::upstream_id& id,
                                const limit_state& reported,
                                base::instant now) {
  const limit_state before = state_of(id);
  const bool newer = reported.version > before.version ||
                     (reported.version == before.version && allowed(reported) < allowed(before));
  if (!newer) {
    return false;
  }
  record& known = known_[id];
  known.named_at = now;
  change_to(known, reported, now);
  return true;
}

std::optional<base::request_rate> upstream_limits::limit_of(const base::upstream_id& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? std::nullopt : found->second.latest;
}

limit_state upstream_limits::state_of(const base::upstream_id& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? limit_state{} : found->second.state;
}

std::vector<base::upstream_id> upstream_limits::changed_since(std::uint64_t change) const {
  std::vector<base::upstream_id> result;
  for (const auto& [id, known] : known_) {
    if (known.change > change) {
      result.push_back(id);
    }
  }
  return result;
}

}  // namespace catkintack::choice
