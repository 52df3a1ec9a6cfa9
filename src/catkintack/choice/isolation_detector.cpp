#include "catkintack/choice/isolation_detector.hpp"

#include <algorithm>

namespace catkintack::choice {

void isolation_detector::on_check(std::size_t connected, std::size_t tried, base::instant now) {
  reaches_some_ = connected > 0;
  if (connected == 0 && !isolated_) {
    isolated_ = true;
    isolated_since_ = now;
  } else if (connected * 2 >= tried) {
    isolated_ = false;
  }
}

bool isolation_detector::may_search(base::instant now) {
  constexpr base::duration search_interval = std::chrono::milliseconds(200);
  if (!reaches_some_ && now < searched_at_ + search_interval) {
    return false;
  }
  searched_at_ = now;
  return true;
}

bool isolation_detector::suspected(std::size_t known) const {
  constexpr std::size_t enough = 3;
  return known > 0 && unreachable_.size() >= std::min(known, enough);
}

}  // namespace catkintack::choice
