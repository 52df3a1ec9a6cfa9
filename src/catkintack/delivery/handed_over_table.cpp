#include "catkintack/delivery/handed_over_table.hpp"

namespace catkintack::delivery {

void handed_over_table::add(const hand_over_part& part) {
  oldest_epoch_ = part.oldest_epoch;
  complete_ = complete_ || part.last;
  for (const finished_request& finished : part.entries) {
    entries_[finished.id] = {finished.fingerprint, finished.response};
  }
}

handed_over_state handed_over_table::find(const base::request_id& id,
                                          std::uint64_t epoch,
                                          std::uint64_t fingerprint) const {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    return found->second.fingerprint == fingerprint ? handed_over_state::finished
                                                    : handed_over_state::mismatched;
  }
  const bool covered = complete_ && epoch >= oldest_epoch_;
  return covered ? handed_over_state::not_run : handed_over_state::unknown;
}

const final_response& handed_over_table::recorded_response(const base::request_id& id) const {
  return entries_.at(id).response;
}

}  // namespace catkintack::delivery
