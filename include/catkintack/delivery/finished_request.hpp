/// @file
/// A finished request as it is stored and handed over to a successor.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"
#include "catkintack/delivery/final_response.hpp"

namespace catkintack::delivery {

/// @brief A request id with the fingerprint of its request and the final response.
struct finished_request {
  base::request_id id;
  std::uint64_t fingerprint = 0;  ///< Hash of customer and request; a repeat must match it.
  final_response response;
};

}  // namespace catkintack::delivery
