/// @file
/// A customer and its plan.
#pragma once

#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::config {

/// @brief An entry of the plans list.
struct customer {
  base::customer_id id;
  base::plan_id plan;
  std::string key_hash;  ///< SHA-256 of the customer's key, 64 lower-case hexadecimal digits.

  bool operator==(const customer&) const = default;
};

}  // namespace catkintack::config
