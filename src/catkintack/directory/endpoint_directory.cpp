#include "catkintack/directory/endpoint_directory.hpp"

#include <algorithm>

namespace catkintack::directory {
namespace {

// An upstream that is gone loses its entry again within a few missed heartbeats of the restored
// registry. One that is alive and has nothing new to write gets work after this.
constexpr base::duration restored_entry_hold = std::chrono::seconds(15);

}  // namespace

bool endpoint_directory::accepts_work(const known_endpoint& entry, base::instant now) const {
  return !entry.listed.record.leaving && now < entry.expires_at && now >= entry.unconfirmed_until &&
         !is_evacuated(entry.listed.record.failure_domain, now);
}

void endpoint_directory::set_warm_up_end(const base::upstream_id& id, base::instant until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.warm_up_until = until;
    found->second.reported_warm_up_until = until;
  }
}

bool endpoint_directory::is_warming_up(const base::upstream_id& id, base::instant now) const {
  const known_endpoint* const entry = find(id);
  return entry != nullptr && now < entry->warm_up_until;
}

bool endpoint_directory::begin_evacuation(const base::failure_domain_id& domain) {
  const auto [entry, inserted] = evacuations_.try_emplace(domain, base::instant::max());
  const bool resumed = entry->second != base::instant::max();
  entry->second = base::instant::max();
  return inserted || resumed;
}

bool endpoint_directory::end_evacuation(const base::failure_domain_id& domain) {
  return evacuations_.erase(domain) > 0;
}

void endpoint_directory::replace_evacuations(const std::set<base::failure_domain_id>& listed,
                                             base::instant now,
                                             base::instant missing_expire_at) {
  for (auto& [domain, end] : evacuations_) {
    if (!listed.contains(domain)) {
      end = std::min(end, missing_expire_at);
    }
  }
  std::erase_if(evacuations_, [now](const auto& entry) { return entry.second <= now; });
  for (const base::failure_domain_id& domain : listed) {
    begin_evacuation(domain);
  }
}

bool endpoint_directory::is_evacuated(const base::failure_domain_id& domain,
                                      base::instant now) const {
  const auto found = evacuations_.find(domain);
  return found != evacuations_.end() && now < found->second;
}

std::set<base::failure_domain_id> endpoint_directory::evacuations() const {
  std::set<base::failure_domain_id> result;
  for (const auto& [domain, end] : evacuations_) {
    if (end == base::instant::max()) {
      result.insert(domain);
    }
  }
  return result;
}

bool endpoint_directory::upsert(const endpoint& listed, base::instant now) {
  endpoint added = listed;
  const base::upstream_id& id = added.record.id;
  added.record.leaving = added.record.leaving || departures_.announced(id, added.run);
  if (added.record.leaving) {
    departures_.record(id, added.run, departure_reason::announced, now);
  }
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
  const bool changed = !(current.listed == added) || current.expires_at != base::instant::max() ||
                       now < current.unconfirmed_until;
  if (current.listed.record.service != added.record.service) {
    by_service_[current.listed.record.service].erase(id);
    by_service_[added.record.service].insert(id);
  }
  current.listed = added;
  current.expires_at = base::instant::max();
  current.unconfirmed_until = base::instant::min();
  if (restarted) {
    current.first_seen = now;
    current.reported_warm_up_until = base::instant::min();
  }
  current.warm_up_until = std::max(now + added.warm_up_left, current.reported_warm_up_until);
  return changed;
}

void endpoint_directory::expire_at(const base::upstream_id& id, base::instant until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.expires_at = std::min(found->second.expires_at, until);
  }
}

bool endpoint_directory::mark_leaving(const base::upstream_id& id, base::instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.listed.record.leaving) {
    return false;
  }
  departures_.record(id, found->second.listed.run, departure_reason::announced, now);
  found->second.listed.record.leaving = true;
  return true;
}

bool endpoint_directory::remove(const base::upstream_id& id, base::instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return false;
  }
  departures_.record(id, found->second.listed.run, departure_reason::entry_removed, now);
  by_service_[found->second.listed.record.service].erase(id);
  entries_.erase(found);
  return true;
}

bool endpoint_directory::was_removed(const endpoint& entry) const {
  const auto found = entries_.find(entry.record.id);
  if (found == entries_.end()) {
    return departures_.departed(entry.record.id, entry.run);
  }
  // An entry that awaits its removal was removed from the registry as well.
  return entry.run <= found->second.listed.run && found->second.expires_at != base::instant::max();
}

void endpoint_directory::replace_all(const std::vector<endpoint>& listed,
                                     base::instant now,
                                     base::instant missing_expire_at,
                                     listing_kind kind) {
  std::set<base::upstream_id> listed_ids;
  for (const endpoint& entry : listed) {
    listed_ids.insert(entry.record.id);
    const bool hold_back = kind == listing_kind::restored && was_removed(entry);
    const known_endpoint* const known = find(entry.record.id);
    const bool repeated = known != nullptr && known->listed.run == entry.run &&
                          known->listed.warm_up_left == entry.warm_up_left;
    const base::instant warm_up_until = repeated ? known->warm_up_until : base::instant::min();
    upsert(entry, now);
    if (repeated) {
      // The remaining time was counted when the entry was written, not when it was listed again.
      entries_.at(entry.record.id).warm_up_until = warm_up_until;
    }
    if (hold_back) {
      entries_.at(entry.record.id).unconfirmed_until = now + restored_entry_hold;
    }
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
    remove(id, now);
  }
  departures_.expire(now);
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
    if (accepts_work(current, now)) {
      result.push_back(&current);
    }
  }
  return result;
}

bool endpoint_directory::is_available(const base::upstream_id& id, base::instant now) const {
  const known_endpoint* const entry = find(id);
  return entry != nullptr && accepts_work(*entry, now);
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
    if (current.expires_at == base::instant::max()) {
      result.push_back(current.listed);
    }
  }
  return result;
}

}  // namespace catkintack::directory
