/// @file
/// How far a planned stop has come.
#pragma once

#include <cstdint>

namespace catkintack::serving {

/// @brief Stages of a planned stop.
enum class stop_stage : std::uint8_t {
  running,
  draining,  ///< Not ready; callers that still come are served.
  refusing   ///< New calls are answered "not run"; open ones are finished.
};

}  // namespace catkintack::serving
