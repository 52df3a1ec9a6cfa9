/// @file
/// Request ids that name the only daemon run that may run them.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::delivery {

/// @brief One run of one host's daemon: the home of the ids made from its tokens.
struct host_incarnation {
  base::host_id host;
  base::incarnation run;
  auto operator<=>(const host_incarnation&) const = default;
};

/// @brief The parts of a request id, "host.incarnation.epoch.unique".
struct request_identity {
  host_incarnation owner;
  std::uint64_t epoch = 0;  ///< Ids are forgotten by whole epochs; see request_registry.
  std::string unique;       ///< The caller's own part: letters, digits, '-' and '_'.
};

/// @brief Reads a request id.
/// @param id The id.
/// @return Its parts, or nothing when it was not made from a token.
std::optional<request_identity> parse_identity(const base::request_id& id);

/// @brief Writes the token from which callers make ids by adding "." and a unique part.
/// @param owner The home.
/// @param epoch The home's newest epoch.
/// @return "host.incarnation.epoch".
std::string make_token(const host_incarnation& owner, std::uint64_t epoch);

/// @brief Writes a home.
/// @param owner The home.
/// @return "host.incarnation".
std::string to_string(const host_incarnation& owner);

}  // namespace catkintack::delivery
