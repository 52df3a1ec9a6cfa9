/// @file
/// Notices changes of the settings file of a running host.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "catkintack/control/host_settings.hpp"
#include "catkintack/logging/structured_log.hpp"

namespace catkintack::control {

/// @brief Reads the settings file again after SIGHUP, and when its size or time of change differs.
/// Not thread-safe.
///
/// A file that is missing or invalid is logged, and the settings in force are kept.
class settings_monitor {
 public:
  using handler = std::function<void(const host_settings&)>;

  /// @param path File that the settings in force were read from.
  /// @param on_settings Called with valid settings, which may equal those in force.
  settings_monitor(const boost::asio::any_io_executor& executor,
                   logging::structured_log& log,
                   std::string path,
                   handler on_settings);

  /// @brief Checks the file at an interval, for the life of the process.
  boost::asio::awaitable<void> run();
  /// @brief Reads the file now.
  /// @return Whether its settings are valid.
  bool reload();
  /// @brief Reads the file if it has changed since it was read last.
  void check();

 private:
  using file_state = std::pair<std::filesystem::file_time_type, std::uintmax_t>;
  std::optional<file_state> inspect() const;

  logging::structured_log& log_;
  std::string path_;
  handler on_settings_;
  std::optional<file_state> read_state_;
  boost::asio::steady_timer timer_;
};

}  // namespace catkintack::control
