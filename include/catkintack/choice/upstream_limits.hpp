/// @file
/// Limits that upstreams named for the requests of all hosts together.
#pragma once

#include <map>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/request_rate.hpp"

namespace catkintack::choice {

/// @brief The limit that each upstream named last. Not thread-safe.
class upstream_limits {
 public:
  /// @brief Records that a response named a limit.
  /// @return Whether it differs from the limit known before.
  bool on_named(const base::upstream_id& id, base::request_rate limit);
  /// @brief Records that an answer to a call named no limit, which ends an earlier one.
  /// @return Whether there was one.
  bool on_ended(const base::upstream_id& id) { return limits_.erase(id) > 0; }
  /// @brief Returns the limit of an upstream, or nothing if it has none.
  std::optional<base::request_rate> limit_of(const base::upstream_id& id) const;
  /// @brief Removes the record of an upstream that was restarted or no longer exists.
  void forget(const base::upstream_id& id) { limits_.erase(id); }

 private:
  std::map<base::upstream_id, base::request_rate> limits_;
};

}  // namespace catkintack::choice
