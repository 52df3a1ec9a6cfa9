/// @file
/// Log lines that machines can read, bounded in rate.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "catkintack/base/hooks.hpp"
#include "catkintack/logging/log_field.hpp"

namespace catkintack::logging {

/// @brief Bounds of the volume.
struct log_rate {
  double lines_per_second = 400;  ///< Sustained; a heavy day of a small host writes about 60.
  double burst = 2000;            ///< Lines at once.
};

/// @brief Writes one line per decision: time, event, and fields as name=value. Not thread-safe.
///
/// Lines beyond the rate are counted, and the count is written as soon as there is room again.
class structured_log {
 public:
  /// Takes one finished line; must not block.
  using sink = std::function<void(const std::string&)>;

  /// @param wall Time shown on each line.
  /// @param clock Measures the rate.
  /// @param write Where lines go.
  /// @param rate Bounds.
  structured_log(base::wall_clock_hook wall,
                 base::clock_hook clock,
                 sink write,
                 log_rate rate = {});

  /// @brief Writes a line.
  /// @param event What happened, one word with underscores.
  /// @param fields Details, in order.
  void write(std::string_view event, std::initializer_list<log_field> fields);

  /// @brief Lines left out so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool admit();
  void emit(std::string_view event, std::initializer_list<log_field> fields);

  base::wall_clock_hook wall_;
  base::clock_hook clock_;
  sink write_;
  log_rate rate_;
  double room_;
  base::instant refilled_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace catkintack::logging
