#include "catkintack/base/event_log.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/base/breach.hpp"

namespace catkintack::base {
namespace {

/// A later timestamp in a message is treated as corrupt, because adopting it could overflow the
/// clock.
constexpr std::uint64_t max_peer_time = 1ULL << 62U;

}  // namespace

event_log::event_log(event_log_options options, wall_clock_hook wall_clock)
    : options_(std::move(options)),
      wall_clock_(std::move(wall_clock)),
      request_events_(options_.capacity),
      notable_events_(options_.capacity) {}

std::uint64_t event_log::wall_us() const {
  return static_cast<std::uint64_t>(wall_clock_().time_since_epoch().count());
}

std::uint64_t event_log::advance_clock(std::uint64_t wall_us) {
  last_time_ = std::max(wall_us, last_time_ + 1);
  return last_time_;
}

void event_log::record(std::string part,
                       std::string kind,
                       request_id request,
                       std::vector<event_field> fields) {
  const auto entry = std::make_shared<event_record>();
  entry->host = options_.host;
  entry->run = options_.run;
  entry->request = std::move(request);
  entry->part = std::move(part);
  entry->kind = std::move(kind);
  entry->fields = std::move(fields);
  const bool notable = entry->request.empty() || is_breach(entry->kind);
  event_ring& ring = notable ? notable_events_ : request_events_;
  const std::uint64_t now = wall_us();
  shared_event evicted;
  {
    const std::lock_guard lock(mutex_);
    entry->time = advance_clock(now);
    entry->sequence = ++last_sequence_;
    evicted = ring.push(entry);
  }
}

void event_log::observe(std::uint64_t peer_time) {
  if (peer_time > max_peer_time) {
    return;
  }
  const std::lock_guard lock(mutex_);
  last_time_ = std::max(last_time_, peer_time);
}

std::uint64_t event_log::stamp() {
  const std::uint64_t now = wall_us();
  const std::lock_guard lock(mutex_);
  return advance_clock(now);
}

std::vector<event_record> event_log::since(std::uint64_t sequence) const {
  std::vector<shared_event> entries;
  {
    const std::lock_guard lock(mutex_);
    request_events_.append_since(sequence, entries);
    notable_events_.append_since(sequence, entries);
  }
  std::sort(entries.begin(), entries.end(),
            [](const shared_event& left, const shared_event& right) {
              return left->sequence < right->sequence;
            });
  std::vector<event_record> copies;
  copies.reserve(entries.size());
  for (const shared_event& entry : entries) {
    copies.push_back(*entry);
  }
  return copies;
}

}  // namespace catkintack::base
