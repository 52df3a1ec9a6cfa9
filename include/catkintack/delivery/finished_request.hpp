/// @file
/// A finished request as it is remembered and handed over.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/delivery/final_response.hpp"

namespace catkintack::delivery {

/// @brief An id, what it stood for, and its end.
struct finished_request {
  base::request_id id;
  std::uint64_t fingerprint = 0;  ///< Hash of customer and request; a repeat must match it.
  final_response response;
};

}  // namespace catkintack::delivery
