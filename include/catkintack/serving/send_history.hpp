/// @file
/// Calls that this host has open at each upstream.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::serving {

/// @brief Open sends by upstream. Not thread-safe.
class send_history {
 public:
  /// @brief Notes a send.
  void begin(const base::upstream_id& id, base::instant now) { open_[id].push_back(now); }
  /// @brief Notes the end of a send that began then.
  void end(const base::upstream_id& id, base::instant began);
  /// @brief Open sends that began after a reading was taken, which it cannot show.
  std::uint32_t since(const base::upstream_id& id, base::instant reading) const;
  /// @brief All open sends.
  std::uint32_t open(const base::upstream_id& id) const;

 private:
  std::map<base::upstream_id, std::vector<base::instant>> open_;
};

}  // namespace catkintack::serving
