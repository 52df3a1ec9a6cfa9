/// @file
/// Operators' settings for a service.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::routes {

/// @brief Settings shared by all upstreams of a service.
struct service_profile {
  base::service_id service;
  std::string health_path = "/health";  ///< Request target of probes.
  std::uint32_t max_upstream_connections =
      100;  ///< Connections per upstream from all hosts together.
  /// Calls per second from all hosts together to an upstream that is warming up; 0: no limit.
  double warm_up_rate = 0;

  bool operator==(const service_profile&) const = default;

  /// @brief Serializes with cereal; the warm-up rate is part of the table_extension.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, health_path, max_upstream_connections);
  }
};

}  // namespace catkintack::routes
