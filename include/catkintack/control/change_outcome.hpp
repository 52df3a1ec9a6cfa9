/// @file
/// How a conditional change of a registry entry ended.
#pragma once

#include <cstdint>

namespace catkintack::control {

/// @brief How a conditional change of a registry entry ended.
enum class change_outcome : std::uint8_t {
  done,
  conflict,    ///< The entry has changed since the revision that the change named.
  unreachable  ///< No answer, or a refusal; the change may still be made.
};

}  // namespace catkintack::control
