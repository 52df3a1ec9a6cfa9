#include "catkintack/control/change_log.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::control {

void change_log::reset(registry_revision revision) {
  batches_.clear();
  first_revision_ = revision;
  last_revision_ = revision;
}

void change_log::append(change_batch batch) {
  if (batch.base_revision > last_revision_ || batch.revision <= last_revision_) {
    reset(std::max(batch.revision, last_revision_));
    return;
  }
  last_revision_ = batch.revision;
  if (batch.table) {
    // A host that is sent an earlier batch is sent this one too, so only the newest
    // table is kept.
    std::ranges::for_each(batches_, [](change_batch& earlier) {
      earlier.table.reset();
      earlier.table_delta.reset();
    });
  }
  if (batch.empty() && !batches_.empty() && batches_.back().empty()) {
    batches_.back().revision = batch.revision;
    return;
  }
  batches_.push_back(std::move(batch));
  if (batches_.size() > capacity_) {
    first_revision_ = batches_.front().revision;
    batches_.pop_front();
  }
}

std::optional<std::vector<change_batch>> change_log::since(registry_revision revision) const {
  if (revision < first_revision_) {
    return std::nullopt;
  }
  const auto begin = std::ranges::upper_bound(batches_, revision, {}, &change_batch::revision);
  return std::vector<change_batch>(begin, batches_.end());
}

}  // namespace catkintack::control
