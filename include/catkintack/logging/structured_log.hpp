/// @file
/// Machine-readable log with a rate limit.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "catkintack/base/hooks.hpp"
#include "catkintack/logging/log_field.hpp"

namespace catkintack::logging {

/// @brief Rate limit of the log.
struct log_rate_limit {
  double lines_per_second =
      400;              ///< Sustained; a small host under heavy load writes about 60 per second.
  double burst = 2000;  ///< Lines that may be written at once.
};

/// @brief Writes one line per event with the time, the event, and fields as name=value. Not
/// thread-safe.
///
/// Lines above the rate limit and those that the sink drops are counted. The count is written
/// before the next line that both take.
class structured_log {
 public:
  /// Receives one formatted line; must not block. If it drops the line, it calls count_dropped().
  using sink = std::function<void(const std::string&)>;

  /// @param wall_clock Provides the time in each line.
  /// @param clock Measures time for the rate limit.
  /// @param write_line Receives the lines.
  structured_log(base::wall_clock_hook wall_clock,
                 base::clock_hook clock,
                 sink write_line,
                 log_rate_limit rate_limit = {});

  /// @brief Writes a line.
  /// @param event Name of the event, without spaces, for example "call_ended".
  /// @param fields Details, written in this order.
  void write(std::string_view event, std::initializer_list<log_field> fields);

  /// @brief Counts a line that the sink has dropped.
  void count_dropped() { ++dropped_; }

  /// @brief Returns the number of lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool try_take_token();
  void report_dropped();
  void emit(std::string_view event, std::initializer_list<log_field> fields);

  base::wall_clock_hook wall_clock_;
  base::clock_hook clock_;
  sink write_line_;
  log_rate_limit rate_limit_;
  double tokens_;
  base::instant last_refill_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace catkintack::logging
