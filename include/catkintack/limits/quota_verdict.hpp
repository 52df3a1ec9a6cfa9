/// @file
/// Whether a call is within the cap of its customer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief Why a call was admitted or refused.
enum class quota_outcome : std::uint8_t {
  granted,           ///< By an authority.
  granted_detached,  ///< From this host's own share, as no authority answers.
  above_cap,         ///< No authority has a token.
  above_share,       ///< This host's own share is used up, and no authority answers.
  unknown_customer,  ///< No authority has the customer in its configuration.
  no_authority       ///< No authority answers, and this host has no share.
};

/// @brief The decision on one call.
struct quota_verdict {
  quota_outcome outcome = quota_outcome::no_authority;
  base::duration retry_after{};            ///< Of a refusal, with jitter.
  std::optional<std::size_t> authority{};  ///< The one that granted it, or refused with this wait.
  double tokens_left = 0;                  ///< At this authority, or of the own share.

  bool admitted() const {
    return outcome == quota_outcome::granted || outcome == quota_outcome::granted_detached;
  }
};

/// @brief A request for tokens that is to be sent to an authority.
struct quota_request {
  std::size_t authority = 0;
  std::uint32_t wanted = 0;
  std::uint32_t refused_before = 0;  ///< Calls refused since the last request without asking.
};

}  // namespace catkintack::limits
