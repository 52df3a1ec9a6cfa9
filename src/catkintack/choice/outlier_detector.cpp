#include "catkintack/choice/outlier_detector.hpp"

#include <algorithm>

namespace catkintack::choice {

void outlier_detector::on_failure(const base::upstream_id& id, base::instant now) {
  constexpr unsigned max_doublings = 8;
  record& entry = records_[id];
  const base::duration duration =
      options_.base_duration * (1U << std::min(entry.failures, max_doublings));
  entry.failures = std::min(entry.failures + 1, max_doublings);
  entry.until = now + std::min(duration, options_.max_duration);
}

void outlier_detector::on_success(const base::upstream_id& id) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  found->second.failures /= 2;
  if (found->second.failures == 0) {
    records_.erase(found);
  }
}

bool outlier_detector::is_outlier(const base::upstream_id& id, base::instant now) const {
  const auto found = records_.find(id);
  return found != records_.end() && now < found->second.until;
}

}  // namespace catkintack::choice
