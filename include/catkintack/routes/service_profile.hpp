/// @file
/// What the operators say of a service as a whole.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::routes {

/// @brief Settings that all upstreams of a service share.
struct service_profile {
  base::service_id service;
  std::string health_path = "/health";  ///< Target of probes.
  std::uint32_t max_upstream_connections =
      100;  ///< Connections an upstream accepts from all hosts together.

  bool operator==(const service_profile&) const = default;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, health_path, max_upstream_connections);
  }
};

}  // namespace catkintack::routes
