/// @file
/// The upstreams that may get work.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "catkintack/directory/endpoint.hpp"

namespace catkintack::directory {

/// @brief Upstreams by id. Not thread-safe; entries count from the moment they are put.
///
/// An entry that is missing from a full listing after the registry was unreachable may only have
/// lapsed there. Such an entry is kept for a grace period, in which its upstream can register
/// again.
class endpoint_directory {
 public:
  /// @brief An entry with the times that the directory keeps for it.
  struct known_endpoint {
    endpoint listed;
    base::instant first_seen;                         ///< When this incarnation was first seen.
    base::instant warm_up_until;                      ///< Until when it is slow after its start.
    base::instant expires_at = base::instant::max();  ///< Removed then unless it is listed again.
  };

  /// @brief Adds or replaces an entry; one of an older incarnation is ignored.
  /// @param added The entry.
  /// @param now The time.
  /// @return Whether anything changed.
  bool upsert(const endpoint& added, base::instant now);

  /// @brief Removes an entry later, unless it is put again by then.
  /// @param id The upstream.
  /// @param until When to remove it.
  void expire_at(const base::upstream_id& id, base::instant until);

  /// @brief Removes an entry.
  /// @param id The upstream.
  /// @return Whether it was there.
  bool remove(const base::upstream_id& id);

  /// @brief Takes a full listing.
  /// @param listed All entries of the registry.
  /// @param now The time.
  /// @param missing_expire_at When to remove entries that are not listed; now or earlier to remove
  /// them at once.
  void replace_all(const std::vector<endpoint>& listed,
                   base::instant now,
                   base::instant missing_expire_at);

  /// @brief Removes the entries whose grace period has passed.
  /// @param now The time.
  /// @return What was removed.
  std::vector<base::upstream_id> expire(base::instant now);

  /// @brief The upstreams of a service that may get work: those that are not leaving, and whose
  /// grace period, if they have one, has not passed.
  /// @param service The service.
  /// @param now The time.
  /// @return Entries; valid until the next change.
  std::vector<const known_endpoint*> available(const base::service_id& service,
                                               base::instant now) const;

  /// @brief Finds an entry.
  /// @param id The upstream.
  /// @return The entry, or null.
  const known_endpoint* find(const base::upstream_id& id) const;

  /// @brief All entries as listed, for a peer.
  std::vector<endpoint> entries() const;
  /// @brief The number of entries.
  std::size_t size() const { return entries_.size(); }

 private:
  std::map<base::upstream_id, known_endpoint> entries_;
  std::map<base::service_id, std::set<base::upstream_id>> by_service_;
};

}  // namespace catkintack::directory
