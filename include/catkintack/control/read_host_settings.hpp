/// @file
/// Reads the settings of a host that serves routes.
#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "catkintack/control/host_settings.hpp"

namespace catkintack::control {

/// @brief Reads and checks a settings file.
///
/// Unknown keys are left to later versions. Every other problem is collected, so that one look
/// tells all of them.
/// @param path The INI file.
/// @return The settings; fails with host_settings_error.
boost::leaf::result<host_settings> read_host_settings(const std::string& path);

}  // namespace catkintack::control
