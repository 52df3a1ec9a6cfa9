/// @file
/// The error type of the command line.
#pragma once

#include <string>

namespace catkintack::cli {

/// @brief Error in the command line.
struct usage_error {
  std::string message;
};

}  // namespace catkintack::cli
