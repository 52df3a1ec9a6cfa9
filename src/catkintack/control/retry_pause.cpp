#include "catkintack/control/retry_pause.hpp"

#include <algorithm>

namespace catkintack::control {

base::duration retry_pause(unsigned failures, retry_span span, const base::random_hook& random) {
  constexpr unsigned most_doublings = 4;
  const unsigned doublings = std::min(std::max(failures, 1U) - 1, most_doublings);
  const base::duration full = std::min(span.first * (1U << doublings), span.longest);
  const auto jitter = random() % static_cast<std::uint64_t>(full.count() / 2 + 1);
  return full / 2 + base::duration(static_cast<base::duration::rep>(jitter));
}

}  // namespace catkintack::control
