#include "catkintack/logging/structured_log.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::logging {
namespace {

void append_value(std::string& line, std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos;
  if (plain) {
    line.append(value);
    return;
  }
  line.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line.push_back('\\');
    }
    line.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
  }
  line.push_back('"');
}

}  // namespace

structured_log::structured_log(base::wall_clock_hook wall_clock,
                               base::clock_hook clock,
                               sink write_line,
                               log_rate_limit rate_limit)
    : wall_clock_(std::move(wall_clock)),
      clock_(std::move(clock)),
      write_line_(std::move(write_line)),
      rate_limit_(rate_limit),
      tokens_(rate_limit.burst),
      last_refill_(clock_()) {}

bool structured_log::try_take_token() {
  const base::instant now = clock_();
  tokens_ = std::min(rate_limit_.burst,
                     tokens_ + rate_limit_.lines_per_second * base::to_seconds(now - last_refill_));
  last_refill_ = now;
  if (tokens_ < 1) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void structured_log::emit(std::string_view event, std::initializer_list<log_field> fields) {
  std::string line = "time_us=" + std::to_string(wall_clock_().time_since_epoch().count());
  line.append(" event=").append(event);
  for (const log_field& field : fields) {
    line.append(" ").append(field.name).append("=");
    append_value(line, field.value);
  }
  write_line_(line);
}

void structured_log::report_dropped() {
  const std::uint64_t dropped = dropped_;
  emit("log_lines_dropped", {{"count", dropped - dropped_reported_}});
  if (dropped_ == dropped) {
    dropped_reported_ = dropped;
  }
  dropped_ = dropped;  // The report is not a line of the log.
}

void structured_log::write(std::string_view event, std::initializer_list<log_field> fields) {
  if (!try_take_token()) {
    return;
  }
  if (dropped_ > dropped_reported_) {
    report_dropped();
  }
  emit(event, fields);
}

}  // namespace catkintack::logging
