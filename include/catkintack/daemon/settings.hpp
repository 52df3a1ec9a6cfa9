/// @file
/// Settings of the daemon, read from an INI file.
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

/// @brief Settings of one service.
struct service_settings {
  bool idempotent = false;         ///< Whether all methods of the service are idempotent.
  bool require_request_id = true;  ///< Whether non-idempotent requests need a request id.
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

/// @brief All errors of a settings file, one line each.
struct settings_error {
  std::string message;
};

/// @brief Parses and validates settings.
/// @param name The name of the file, for error messages.
/// @param text The contents of the file.
/// @return The settings, or a settings_error that lists all errors.
boost::leaf::result<settings> parse_settings(const std::string& name, const std::string& text);

/// @brief Reads, parses and validates a settings file.
/// @return The settings, or a settings_error that lists all errors.
boost::leaf::result<settings> read_settings(const std::string& path);

/// @brief Describes every section and key for operators.
/// @return Text that lists each section, followed by its keys and their allowed values.
std::string settings_reference();

}  // namespace catkintack::daemon
