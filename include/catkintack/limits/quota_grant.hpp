/// @file
/// An authority's answer to a request for tokens.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief Tokens given out, each for one call of a customer.
struct quota_grant {
  std::uint32_t granted = 0;
  base::duration wait{};         ///< Time until the authority has another token.
  base::duration retry_after{};  ///< Time after which the first refused caller should retry.
  double tokens_left = 0;
};

}  // namespace catkintack::limits
