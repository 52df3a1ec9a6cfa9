/// @file
/// Per-service statistics of probe results.
#pragma once

#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/choice/moving_average.hpp"
#include "catkintack/choice/probe_result.hpp"

namespace catkintack::choice {

/// @brief Speed of the machines of each service, as this host's probes show it. Not thread-safe.
class service_statistics {
 public:
  /// @brief Records the probe result of an upstream.
  void on_probe(const base::service_id& service, const probe_result& result);
  /// @brief Returns the mean slowdown of the service's machines relative to normal; 1 before the
  /// first probe.
  double usual_slowdown(const base::service_id& service) const;

 private:
  std::map<base::service_id, moving_average> slowdowns_;
};

}  // namespace catkintack::choice
