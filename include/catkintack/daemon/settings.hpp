/// @file
/// The daemon's settings, read from an INI file.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/logging/log.hpp"

namespace catkintack::daemon {

/// @brief What is set for one service.
struct service_settings {
  bool idempotent = false;         ///< Whether every method of the service may safely run twice.
  bool require_request_id = true;  ///< Whether requests that may not run twice need an id.
};

/// @brief All settings of a daemon.
struct settings {
  base::host_id host;
  base::region_id region;
  base::failure_domain_id failure_domain;
  base::address callers;
  base::address peers;
  base::address admin;
  base::address store;
  base::address host_list;
  std::string peer_key;
  base::duration default_time_left = std::chrono::seconds(5);
  base::duration stop_limit = std::chrono::seconds(30);
  std::uint32_t max_attempts = 3;
  std::uint64_t max_body_bytes = 8U << 20U;
  std::uint32_t max_connections = 256;
  logging::log_level level = logging::log_level::info;
  std::map<base::service_id, service_settings> services;
};

/// @brief Every fault of a settings file, one line each.
struct settings_error {
  std::string message;
};

/// @brief Reads and checks settings in full.
/// @param name The file's name, for messages.
/// @param text The file's text.
/// @return The settings, or a settings_error that lists all faults.
boost::leaf::result<settings> parse_settings(const std::string& name, const std::string& text);

/// @brief Reads and checks a settings file in full.
/// @param path The file.
/// @return The settings, or a settings_error that lists all faults.
boost::leaf::result<settings> read_settings(const std::string& path);

/// @brief Describes every section and key.
/// @return Text for operators: each section, and below it each key with what it takes.
std::string settings_reference();

}  // namespace catkintack::daemon
