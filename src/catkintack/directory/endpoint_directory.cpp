#include "catkintack/directory/endpoint_directory.hpp"

#include <algorithm>

namespace catkintack::directory {

bool endpoint_directory::upsert(const endpoint& added, base::instant now) {
  const base::upstream_id& id = added.record.id;
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    entries_.emplace(id, known_endpoint{added, now, now + added.warm_up_left});
    by_service_[added.record.service].insert(id);
    return true;
  }
  known_endpoint& current = found->second;
  if (added.run < current.listed.run) {
    return false;
  }
  const bool restarted = current.listed.run < added.run;
  const bool changed = !(current.listed == added) || current.expires_at != base::instant::max();
  if (current.listed.record.service != added.record.service) {
    by_service_[current.listed.record.service].erase(id);
    by_service_[added.record.service].insert(id);
  }
  current.listed = added;
  current.expires_at = base::instant::max();
  current.warm_up_until = now + added.warm_up_left;
  if (restarted) {
    current.first_seen = now;
  }
  return changed;
}

void endpoint_directory::expire_at(const base::upstream_id& id, base::instant until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.expires_at = std::min(found->second.expires_at, until);
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
                                     base::instant missing_expire_at) {
  std::set<base::upstream_id> listed_ids;
  for (const endpoint& entry : listed) {
    listed_ids.insert(entry.record.id);
    upsert(entry, now);
  }
  for (auto& [id, current] : entries_) {
    if (!listed_ids.contains(id)) {
      current.expires_at = std::min(current.expires_at, missing_expire_at);
    }
  }
  expire(now);
}

std::vector<base::upstream_id> endpoint_directory::expire(base::instant now) {
  std::vector<base::upstream_id> expired;
  for (const auto& [id, current] : entries_) {
    if (current.expires_at <= now) {
      expired.push_back(id);
    }
  }
  for (const base::upstream_id& id : expired) {
    remove(id);
  }
  return expired;
}

std::vector<const endpoint_directory::known_endpoint*> endpoint_directory::available(
    const base::service_id& service,
    base::instant now) const {
  std::vector<const known_endpoint*> result;
  const auto service_ids = by_service_.find(service);
  if (service_ids == by_service_.end()) {
    return result;
  }
  for (const base::upstream_id& id : service_ids->second) {
    const known_endpoint& current = entries_.at(id);
    if (!current.listed.record.leaving && now < current.expires_at) {
      result.push_back(&current);
    }
  }
  return result;
}

const endpoint_directory::known_endpoint* endpoint_directory::find(
    const base::upstream_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<endpoint> endpoint_directory::entries() const {
  std::vector<endpoint> result;
  result.reserve(entries_.size());
  for (const auto& [id, current] : entries_) {
    result.push_back(current.listed);
  }
  return result;
}

}  // namespace catkintack::directory
