/// @file
/// Limits that upstreams named for the requests of all hosts together.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/limit_observation.hpp"

namespace catkintack::choice {

/// @brief The newest observation of each upstream's limit, by this host or another. Not
/// thread-safe.
class upstream_limits {
 public:
  /// @brief Records an observation; one that is older than the known one is ignored.
  /// @return Whether the limit began, ended or changed considerably. Only such changes are worth a
  /// message to other hosts: an upstream may name a slightly different value in each response.
  bool observe(const base::upstream_id& id, const limit_observation& seen);
  /// @brief Returns the limit of an upstream, or nothing if it has none.
  std::optional<base::request_rate> limit_of(const base::upstream_id& id) const;
  /// @brief Returns the newest observation of an upstream; an empty one if there is none.
  limit_observation observation_of(const base::upstream_id& id) const;
  /// @brief Removes the record of an upstream that was restarted or no longer exists.
  void forget(const base::upstream_id& id) { known_.erase(id); }

  /// @brief Whether no upstream has named a limit so far.
  bool empty() const { return known_.empty(); }
  /// @brief Number of the last change, which rises with each of them.
  std::uint64_t last_change() const { return last_change_; }
  /// @brief Returns the observations with a later change than the given one.
  std::vector<std::pair<base::upstream_id, limit_observation>> changed_since(
      std::uint64_t change) const;

 private:
  struct record {
    limit_observation latest;
    std::optional<base::request_rate> reported{};  ///< The limit at the last change.
    std::uint64_t change = 0;
  };

  std::map<base::upstream_id, record> known_;
  std::uint64_t last_change_ = 0;
};

}  // namespace catkintack::choice
