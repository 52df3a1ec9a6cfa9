#include "catkintack/directory/endpoint_directory.hpp"

#include <algorithm>

namespace catkintack::directory {

bool endpoint_directory::put(const endpoint& added, base::instant now) {
  const base::upstream_id& id = added.record.id;
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    entries_.emplace(id, known_endpoint{added, now, now + added.warm_up_left});
    by_service_[added.record.service].insert(id);
    return true;
  }
  known_endpoint& known = found->second;
  if (added.run < known.listed.run) {
    return false;
  }
  const bool restarted = known.listed.run < added.run;
  const bool changed = !(known.listed == added) || known.keep_until != base::instant::max();
  if (known.listed.record.service != added.record.service) {
    by_service_[known.listed.record.service].erase(id);
    by_service_[added.record.service].insert(id);
  }
  known.listed = added;
  known.keep_until = base::instant::max();
  known.warm_until = now + added.warm_up_left;
  if (restarted) {
    known.since = now;
  }
  return changed;
}

void endpoint_directory::keep_only_until(const base::upstream_id& id, base::instant until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.keep_until = std::min(found->second.keep_until, until);
  }
}

bool endpoint_directory::remove(const base::upstream_id& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return false;
  }
  by_service_[found->second.listed.record.service].erase(id);
  entries_.erase(found);
  return true;
}

void endpoint_directory::replace_all(const std::vector<endpoint>& listed,
                                     base::instant now,
                                     base::instant keep_missing_until) {
  std::set<base::upstream_id> present;
  for (const endpoint& entry : listed) {
    present.insert(entry.record.id);
    put(entry, now);
  }
  for (auto& [id, known] : entries_) {
    if (!present.contains(id)) {
      known.keep_until = std::min(known.keep_until, keep_missing_until);
    }
  }
  expire(now);
}

std::vector<base::upstream_id> endpoint_directory::expire(base::instant now) {
  std::vector<base::upstream_id> expired;
  for (const auto& [id, known] : entries_) {
    if (known.keep_until <= now) {
      expired.push_back(id);
    }
  }
  for (const base::upstream_id& id : expired) {
    remove(id);
  }
  return expired;
}

std::vector<const endpoint_directory::known_endpoint*> endpoint_directory::usable(
    const base::service_id& service,
    base::instant now) const {
  std::vector<const known_endpoint*> result;
  const auto ids = by_service_.find(service);
  if (ids == by_service_.end()) {
    return result;
  }
  for (const base::upstream_id& id : ids->second) {
    const known_endpoint& known = entries_.at(id);
    if (!known.listed.record.leaving && now < known.keep_until) {
      result.push_back(&known);
    }
  }
  return result;
}

const endpoint_directory::known_endpoint* endpoint_directory::find(
    const base::upstream_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<endpoint> endpoint_directory::listing() const {
  std::vector<endpoint> result;
  result.reserve(entries_.size());
  for (const auto& [id, known] : entries_) {
    result.push_back(known.listed);
  }
  return result;
}

}  // namespace catkintack::directory
