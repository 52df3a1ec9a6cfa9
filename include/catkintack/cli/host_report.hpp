/// @file
/// What a host says of the lists in force on it.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/config/list_stamp.hpp"

namespace catkintack::cli {

/// @brief The lists in force on a host, by its status.
struct host_report {
  base::host_id host;
  bool reachable = false;
  config::list_stamps in_force;
};

}  // namespace catkintack::cli
