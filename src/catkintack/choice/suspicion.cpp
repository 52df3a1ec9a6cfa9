#include "catkintack/choice/suspicion.hpp"

#include <algorithm>

namespace catkintack::choice {

void suspicion::on_failure(const base::upstream_id& id, base::instant now) {
  constexpr unsigned most_doublings = 8;
  record& known = records_[id];
  const base::duration span =
      options_.first_span * (1U << std::min(known.failures, most_doublings));
  known.failures = std::min(known.failures + 1, most_doublings);
  known.until = now + std::min(span, options_.longest_span);
}

void suspicion::on_success(const base::upstream_id& id) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  found->second.failures /= 2;
  if (found->second.failures == 0) {
    records_.erase(found);
  }
}

bool suspicion::suspects(const base::upstream_id& id, base::instant now) const {
  const auto found = records_.find(id);
  return found != records_.end() && now < found->second.until;
}

}  // namespace catkintack::choice
