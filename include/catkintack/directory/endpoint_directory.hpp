/// @file
/// Directory of the known upstreams.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "catkintack/directory/departure_log.hpp"
#include "catkintack/directory/endpoint.hpp"

namespace catkintack::directory {

/// @brief Upstreams by id. Entries take effect as soon as they are added. Not thread-safe.
///
/// An entry that is missing from a full listing after a registry outage may merely have expired in
/// the registry. Such an entry is kept for a grace period, in which its upstream can register
/// again. Leaving is final for an incarnation: an entry that lists it as ready again stems from an
/// older copy of the registry.
class endpoint_directory {
 public:
  /// @brief What a full listing reflects.
  enum class listing_kind : std::uint8_t {
    current,  ///< The latest state of the registry.
    restored  ///< A registry restored from an older copy, before its writers have written again.
  };

  /// @brief An entry with its local timestamps.
  struct known_endpoint {
    endpoint listed;
    base::instant first_seen;     ///< When this incarnation was first seen.
    base::instant warm_up_until;  ///< End of the warm-up.
    /// End of the warm-up that this incarnation reported itself. A listing that was written before
    /// does not shorten it.
    base::instant reported_warm_up_until = base::instant::min();
    base::instant expires_at = base::instant::max();  ///< Removed then unless it is listed again.
    /// Gets no work before: the entry had been removed and came back with an older copy of the
    /// registry, so that its upstream may be gone.
    base::instant unconfirmed_until = base::instant::min();
  };

  /// @brief Adds or replaces an entry. An entry of an older incarnation is ignored.
  /// @return Whether anything changed.
  bool upsert(const endpoint& added, base::instant now);

  /// @brief Schedules the removal of an entry unless it is added again before. An earlier removal
  /// time stays.
  void expire_at(const base::upstream_id& id, base::instant until);

  /// @brief Records that an upstream announced its departure in a response; it gets no new work.
  /// @return Whether this is news.
  bool mark_leaving(const base::upstream_id& id, base::instant now);

  /// @brief Removes an entry.
  /// @return Whether the entry existed.
  bool remove(const base::upstream_id& id, base::instant now);

  /// @brief Applies a full listing of the registry.
  /// @param listed All entries of the registry.
  /// @param missing_expire_at When to remove entries that are not listed; now or earlier to remove
  /// them at once.
  /// @param kind Of a restored registry, entries that were removed before get no work for a while.
  void replace_all(const std::vector<endpoint>& listed,
                   base::instant now,
                   base::instant missing_expire_at,
                   listing_kind kind = listing_kind::current);

  /// @brief Removes the entries whose grace period has ended.
  /// @return The ids of the removed entries.
  std::vector<base::upstream_id> expire(base::instant now);

  /// @brief Records that an upstream said how much longer it is warming up.
  /// @param until End of the warm-up; in the past if it is warm.
  void set_warm_up_end(const base::upstream_id& id, base::instant until);
  /// @brief Whether an upstream is warming up.
  bool is_warming_up(const base::upstream_id& id, base::instant now) const;

  /// @brief Records that the upstreams of a failure domain must get no work.
  /// @return Whether this is news.
  bool begin_evacuation(const base::failure_domain_id& domain);
  /// @brief Records the end of an evacuation.
  /// @return Whether there was one.
  bool end_evacuation(const base::failure_domain_id& domain);
  /// @brief Applies the full list of evacuations.
  /// @param missing_expire_at When to end evacuations that are not listed; now or earlier to end
  /// them at once.
  void replace_evacuations(const std::set<base::failure_domain_id>& listed,
                           base::instant now,
                           base::instant missing_expire_at);
  /// @brief Whether the upstreams of a failure domain must get no work.
  bool is_evacuated(const base::failure_domain_id& domain, base::instant now) const;
  /// @brief Returns the evacuated failure domains, without those that await their end.
  std::set<base::failure_domain_id> evacuations() const;

  /// @brief Returns the upstreams of a service that can accept work: those that are not leaving,
  /// whose failure domain is not evacuated, whose grace period, if any, has not ended, and that are
  /// not held back as unconfirmed. The pointers are valid until the next change.
  std::vector<const known_endpoint*> available(const base::service_id& service,
                                               base::instant now) const;

  /// @brief Whether an upstream can accept work.
  bool is_available(const base::upstream_id& id, base::instant now) const;

  /// @brief Returns the entry of an upstream, or null.
  const known_endpoint* find(const base::upstream_id& id) const;

  /// @brief Returns all entries as listed, for sending to a peer. Entries that await their removal
  /// are left out: a peer that has not seen the removal would keep them.
  std::vector<endpoint> entries() const;
  std::size_t size() const { return entries_.size(); }

 private:
  bool was_removed(const endpoint& entry) const;
  bool accepts_work(const known_endpoint& entry, base::instant now) const;

  departure_log departures_;
  std::map<base::upstream_id, known_endpoint> entries_;
  std::map<base::service_id, std::set<base::upstream_id>> by_service_;
  /// Evacuated failure domains, and when the evacuation ends unless it is listed again.
  std::map<base::failure_domain_id, base::instant> evacuations_;
};

}  // namespace catkintack::directory
