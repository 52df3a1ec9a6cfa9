/// @file
/// One upstream of a service, as listed by the platform.
#pragma once

#include <cstdint>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"

namespace catkintack::routing {

/// @brief An upstream as given by the host list.
struct upstream_record {
  base::upstream_id id;
  base::service_id service;
  base::address where;
  base::region_id region;
  base::failure_domain_id failure_domain;
  std::uint32_t slots = 1;  ///< Requests it can run concurrently, at least 1.
  bool leaving = false;     ///< Accepts no new work.

  bool operator==(const upstream_record&) const = default;
};

}  // namespace catkintack::routing
