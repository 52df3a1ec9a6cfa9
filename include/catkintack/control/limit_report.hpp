/// @file
/// What one host tells another about the limit of an upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/request_rate.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief The limit of one upstream.
struct limit_report {
  base::upstream_id upstream;
  base::incarnation run;  ///< Incarnation of the upstream that named the limit.
  choice::limit_state state;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, run, state.limit, state.version);
  }
};

/// @brief Describes what this host knows about an upstream.
/// @return Nothing if the upstream is not in the directory or has not named a limit.
std::optional<limit_report> make_limit_report(const serving::traffic_state& state,
                                              const base::upstream_id& upstream);

/// @brief Returns reports of the limits that changed after a change number.
std::vector<limit_report> limit_reports_since(const serving::traffic_state& state,
                                              std::uint64_t change);

/// @brief Applies a report of another host. One about another incarnation than the directory lists
/// is ignored, and so is a malformed one.
/// @param source The host, for the log.
void apply_limit_report(serving::traffic_state& state,
                        const limit_report& report,
                        const std::string& source);

}  // namespace catkintack::control
