/// @file
/// The header names and forms that callers and upstreams of a deployment use.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "catkintack/choice/probe_result.hpp"

namespace catkintack::serving {

/// @brief Names of headers; a deployment's adapter sets them.
struct upstream_protocol {
  std::string request_id = "Catkintack-Request-Id";   ///< The caller's id of one attempt, echoed.
  std::string time_left = "Catkintack-Time-Left-Ms";  ///< Milliseconds that the caller will wait.
  std::string expected_upstream = "Catkintack-Upstream";  ///< Any other upstream answers 421.
  std::string upstream = "Catkintack-Upstream";  ///< Names the upstream on answers to probes.
  std::string not_run = "Catkintack-Not-Run";    ///< Present when the upstream did not run a call.
  std::string proof = "Catkintack-Proof";        ///< Present on every answer made by an upstream.
  std::string load = "Catkintack-Load";          ///< The upstream's load.
  /// Reads the load header; nothing for a malformed value.
  std::function<std::optional<choice::probe_result>(std::string_view)> read_load =
      [](std::string_view) { return std::nullopt; };
};

}  // namespace catkintack::serving
