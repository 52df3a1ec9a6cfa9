/// @file
/// Errors of the cli layer.
#pragma once

#include <string>

namespace catkintack::cli {

/// @brief An error in a command's words.
struct usage_error {
  std::string message;
};

}  // namespace catkintack::cli
