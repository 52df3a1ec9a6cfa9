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

structured_log::structured_log(base::wall_clock_hook wall,
                               base::clock_hook clock,
                               sink write,
                               log_rate rate)
    : wall_(std::move(wall)),
      clock_(std::move(clock)),
      write_(std::move(write)),
      rate_(rate),
      room_(rate.burst),
      refilled_(clock_()) {}

bool structured_log::admit() {
  const base::instant now = clock_();
  room_ = std::min(rate_.burst, room_ + rate_.lines_per_second * base::to_seconds(now - refilled_));
  refilled_ = now;
  if (room_ < 1) {
    ++dropped_;
    return false;
  }
  room_ -= 1;
  return true;
}

void structured_log::emit(std::string_view event, std::initializer_list<log_field> fields) {
  std::string line = "time_us=" + std::to_string(wall_().time_since_epoch().count());
  line.append(" event=").append(event);
  for (const log_field& field : fields) {
    line.append(" ").append(field.name).append("=");
    append_value(line, field.value);
  }
  write_(line);
}

void structured_log::write(std::string_view event, std::initializer_list<log_field> fields) {
  if (!admit()) {
    return;
  }
  if (dropped_ > dropped_reported_) {
    emit("log_lines_dropped", {{"count", dropped_ - dropped_reported_}});
    dropped_reported_ = dropped_;
  }
  emit(event, fields);
}

}  // namespace catkintack::logging
