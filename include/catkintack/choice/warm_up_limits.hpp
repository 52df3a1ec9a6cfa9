/// @file
/// Which limit applies to an upstream now.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/request_rate.hpp"

namespace catkintack::choice {

/// @brief Why the calls to an upstream are limited.
enum class limit_cause : std::uint8_t {
  named,      ///< The upstream named a limit.
  warming_up  ///< The upstream is cold, and its service has a warm-up rate.
};

/// @brief A limit for the calls of all hosts together to one upstream.
struct send_limit {
  base::request_rate rate;
  limit_cause cause = limit_cause::named;

  bool operator==(const send_limit&) const = default;
};

/// @brief Returns the limit of an upstream as this host knows it, or nothing if there is none.
/// @param named The limit that the upstream named, if any.
/// @param warm_up_rate Calls per second to an upstream that is warming up; 0: no limit.
std::optional<send_limit> limit_in_force(const std::optional<base::request_rate>& named,
                                         bool warming_up,
                                         double warm_up_rate);

/// @brief Returns the limit that an authority keeps to when it answers a request: the lower of what
/// it knows itself and the warm-up rate that the requesting host sent.
/// @param requested The warm-up rate of the request, if any. Ignored unless finite and above 0.
std::optional<send_limit> limit_of_request(const std::optional<send_limit>& known,
                                           const std::optional<base::request_rate>& requested);

}  // namespace catkintack::choice
