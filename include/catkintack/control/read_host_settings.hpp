/// @file
/// Reads the settings of a gateway host.
#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "catkintack/control/host_settings.hpp"

namespace catkintack::control {

/// @brief Reads and validates a settings file.
///
/// Unknown keys are ignored, as later versions may define them. All other problems are collected
/// and reported together.
/// @return The settings; fails with host_settings_error.
boost::leaf::result<host_settings> read_host_settings(const std::string& path);

}  // namespace catkintack::control
