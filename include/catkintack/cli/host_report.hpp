/// @file
/// Lists in force on a host.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_stamp.hpp"

namespace catkintack::cli {

/// @brief Lists in force on a host, as its status reports them.
struct host_report {
  base::host_id host;
  bool reachable = false;
  config::list_stamps in_force;
};

}  // namespace catkintack::cli
