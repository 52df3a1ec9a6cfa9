/// @file
/// Filters and output format of the time line.
#pragma once

#include <string>

namespace catkintack::cli {

/// @brief Options of `catkintack timeline`. Empty filters match all events.
struct timeline_options {
  std::string request;         ///< Only events of this request id.
  std::string host;            ///< Only events of this host.
  std::string part;            ///< Only events of this module.
  bool breaches_only = false;  ///< Only events whose kind begins with "breach_".
  bool follow = false;         ///< Continue with new events.
  bool json = false;           ///< Print one JSON object per line.
  std::string svg_path;        ///< Draw into this file instead of printing.
};

}  // namespace catkintack::cli
