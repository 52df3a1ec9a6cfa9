/// @file
/// Upstreams that asked for no requests for a while.
#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief Pauses that overloaded upstreams requested with a refusal. Not thread-safe.
class upstream_pauses {
 public:
  /// @param longest Longer requests are cut to this, so that a wrong value does not take an
  /// upstream out of use for good: after it, one request asks again.
  explicit upstream_pauses(base::duration longest = std::chrono::minutes(1)) : longest_(longest) {}

  /// @brief Records a requested pause. Of overlapping pauses the one that ends last counts.
  void on_request(const base::upstream_id& id, base::duration requested, base::instant now);
  /// @brief Returns the end of the pause of an upstream, or nothing if it has none.
  std::optional<base::instant> end_of(const base::upstream_id& id, base::instant now) const;
  /// @brief Removes the record of an upstream that was restarted or no longer exists.
  void forget(const base::upstream_id& id) { ends_.erase(id); }

 private:
  base::duration longest_;
  std::map<base::upstream_id, base::instant> ends_;
};

}  // namespace catkintack::choice
