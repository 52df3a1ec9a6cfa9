/// @file
/// Whether a call is within the cap of its customer.
#pragma once

#include <string>

#include "catkintack/base/units.hpp"

namespace catkintack::serving {

/// @brief The decision about one call, before it runs.
struct quota_decision {
  bool admitted = true;
  unsigned status = 429;         ///< Of a refusal: 429, or 503 if the cap cannot be checked.
  base::duration retry_after{};  ///< Of a refusal.
  std::string reason{};          ///< Of a refusal.
};

}  // namespace catkintack::serving
