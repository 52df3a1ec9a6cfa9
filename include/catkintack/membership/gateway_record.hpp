/// @file
/// A gateway host as the platform's host list shows it.
#pragma once

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"

namespace catkintack::membership {

/// @brief An entry of the host list.
struct gateway_record {
  base::host_id host;
  base::address callers;  ///< Where callers connect.
  base::address peers;    ///< Where other hosts connect, over UDP and TCP.
  base::address admin;    ///< Where operators and the balancer's check connect.
  base::region_id region;
  base::failure_domain_id failure_domain;
  bool leaving = false;

  bool operator==(const gateway_record&) const = default;
};

}  // namespace catkintack::membership
