/// @file
/// Output of log lines that never waits for the reader.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace catkintack::logging {

/// @brief Writes lines to a pipe, socket, terminal or file, and drops those for which the reader
/// leaves no room. Not thread-safe. SIGPIPE must be ignored.
///
/// Of a line that fits only in part, the rest is kept and written before the next line, so that the
/// reader sees whole lines only. A pipe, socket or terminal becomes non-blocking, also for other
/// processes that have the same end open.
class line_writer {
 public:
  /// @param descriptor Not owned; must stay open.
  explicit line_writer(int descriptor);

  /// @brief Writes a line and a line break.
  /// @return False if the line was dropped, and counted.
  bool write(std::string_view line);

  /// @brief Returns the number of lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::size_t write_some(std::string_view bytes) const;

  int descriptor_;
  std::string rest_;
  std::uint64_t dropped_ = 0;
};

}  // namespace catkintack::logging
