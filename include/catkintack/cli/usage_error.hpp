/// @file
/// Errors of the cli layer.
#pragma once

#include <string>

namespace catkintack::cli {

/// @brief Error in the command line.
struct usage_error {
  std::string message;
};

}  // namespace catkintack::cli
