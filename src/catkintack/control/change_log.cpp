#include "catkintack/control/change_log.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::control {

void change_log::restart(std::uint64_t revision) {
  batches_.clear();
  first_ = revision;
  last_ = revision;
}

void change_log::add(change_batch batch) {
  if (batch.after > last_ || batch.revision <= last_) {
    restart(std::max(batch.revision, last_));
    return;
  }
  last_ = batch.revision;
  if (batch.table) {
    // Whoever is sent an earlier table is sent this one too.
    std::ranges::for_each(batches_, [](change_batch& earlier) { earlier.table.reset(); });
  }
  if (batch.empty() && !batches_.empty() && batches_.back().empty()) {
    batches_.back().revision = batch.revision;
    return;
  }
  batches_.push_back(std::move(batch));
  if (batches_.size() > most_) {
    first_ = batches_.front().revision;
    batches_.pop_front();
  }
}

std::optional<std::vector<change_batch>> change_log::since(std::uint64_t revision) const {
  if (revision < first_) {
    return std::nullopt;
  }
  const auto begin = std::ranges::upper_bound(batches_, revision, {}, &change_batch::revision);
  return std::vector<change_batch>(begin, batches_.end());
}

}  // namespace catkintack::control
