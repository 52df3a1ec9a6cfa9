/// @file
/// Calls of this host that are in flight at each upstream.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::serving {

/// @brief Tracks sends in flight per upstream. Not thread-safe.
class in_flight_sends {
 public:
  /// @brief Records the start of a send.
  void begin(const base::upstream_id& id, base::instant now) { started_[id].push_back(now); }
  /// @brief Records the end of the send that started at the given time.
  void end(const base::upstream_id& id, base::instant started_at);
  /// @brief Number of sends started after a load reading was taken, which the reading does not
  /// include.
  std::uint32_t started_after(const base::upstream_id& id, base::instant read_at) const;
  /// @brief Number of sends in flight.
  std::uint32_t count(const base::upstream_id& id) const;

 private:
  std::map<base::upstream_id, std::vector<base::instant>> started_;
};

}  // namespace catkintack::serving
