#include "catkintack/base/event_log.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::base {

event_log::event_log(event_log_options options, wall_clock_hook wall_clock)
    : options_(std::move(options)), wall_clock_(std::move(wall_clock)) {}

std::uint64_t event_log::advance_clock() {
  const auto wall = static_cast<std::uint64_t>(wall_clock_().time_since_epoch().count());
  last_time_ = std::max(wall, last_time_ + 1);
  return last_time_;
}

void event_log::record(std::string part,
                       std::string kind,
                       request_id request,
                       std::vector<event_field> fields) {
  const std::lock_guard lock(mutex_);
  event_record entry;
  entry.time = advance_clock();
  entry.host = options_.host;
  entry.run = options_.run;
  entry.sequence = ++last_sequence_;
  entry.request = std::move(request);
  entry.part = std::move(part);
  entry.kind = std::move(kind);
  entry.fields = std::move(fields);
  events_.push_back(std::move(entry));
  if (events_.size() > options_.capacity) {
    events_.pop_front();
  }
}

void event_log::observe(std::uint64_t peer_time) {
  const std::lock_guard lock(mutex_);
  last_time_ = std::max(last_time_, peer_time);
}

std::uint64_t event_log::stamp() {
  const std::lock_guard lock(mutex_);
  return advance_clock();
}

std::vector<event_record> event_log::since(std::uint64_t sequence) const {
  const std::lock_guard lock(mutex_);
  const auto first =
      std::find_if(events_.begin(), events_.end(),
                   [sequence](const event_record& entry) { return entry.sequence > sequence; });
  return {first, events_.end()};
}

}  // namespace catkintack::base
