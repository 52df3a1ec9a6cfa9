/// @file
/// Filters and form of the time line.
#pragma once

#include <string>

namespace catkintack::cli {

/// @brief Options of `catkintack timeline`. Empty filters let every event pass.
struct timeline_options {
  std::string request;         ///< Only events of this request id.
  std::string host;            ///< Only events of this host.
  std::string part;            ///< Only events of this module.
  bool breaches_only = false;  ///< Only events of a kind that begins with "breach_".
  bool follow = false;         ///< Keep asking for new events.
  bool json = false;           ///< One JSON object a line.
  std::string svg_path;        ///< Draw into this file instead of writing text.
};

}  // namespace catkintack::cli
