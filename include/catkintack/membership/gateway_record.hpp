/// @file
/// A gateway host in the platform's host list.
#pragma once

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"

namespace catkintack::membership {

/// @brief Entry of the host list.
struct gateway_record {
  base::host_id host;
  base::address callers;  ///< Address for callers.
  base::address peers;    ///< Address for other hosts, over UDP and TCP.
  base::address admin;    ///< Address for operators and the balancer's health check.
  base::region_id region;
  base::failure_domain_id failure_domain;
  bool leaving = false;

  bool operator==(const gateway_record&) const = default;
};

}  // namespace catkintack::membership
