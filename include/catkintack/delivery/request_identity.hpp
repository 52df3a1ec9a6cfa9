/// @file
/// Request ids that name the only daemon incarnation allowed to run the request.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::delivery {

/// @brief One run of a host's daemon, which owns the request ids made from its tokens.
struct host_incarnation {
  base::host_id host;
  base::incarnation run;
  auto operator<=>(const host_incarnation&) const = default;
};

/// @brief The parts of a request id, "host.incarnation.epoch.unique".
struct request_identity {
  host_incarnation owner;
  std::uint64_t epoch = 0;  ///< Ids are evicted by whole epochs; see request_registry.
  std::string unique;       ///< Chosen by the caller: letters, digits, '-' and '_'.
};

/// @brief Parses a request id.
/// @return The parts, or nothing if the id was not made from a token.
std::optional<request_identity> parse_request_id(const base::request_id& id);

/// @brief Formats the token from which callers make ids by appending "." and a unique part.
/// @param owner The incarnation that issues the token.
/// @param epoch The newest epoch of that incarnation.
/// @return "host.incarnation.epoch".
std::string make_token(const host_incarnation& owner, std::uint64_t epoch);

/// @brief Formats an incarnation.
/// @return "host.incarnation".
std::string to_string(const host_incarnation& owner);

}  // namespace catkintack::delivery
