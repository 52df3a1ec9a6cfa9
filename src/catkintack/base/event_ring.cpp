#include "catkintack/base/event_ring.hpp"

#include <utility>

namespace catkintack::base {

event_ring::event_ring(std::size_t capacity) : entries_(capacity) {}

shared_event event_ring::push(shared_event entry) {
  std::swap(entries_[next_], entry);
  next_ = (next_ + 1) % entries_.size();
  return entry;
}

void event_ring::append_since(std::uint64_t sequence, std::vector<shared_event>& target) const {
  for (std::size_t step = 0; step < entries_.size(); ++step) {
    const shared_event& entry = entries_[(next_ + step) % entries_.size()];
    if (entry && entry->sequence > sequence) {
      target.push_back(entry);
    }
  }
}

}  // namespace catkintack::base
