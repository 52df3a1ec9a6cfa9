#include "catkintack/control/retry_backoff.hpp"

#include <algorithm>

namespace catkintack::control {

base::duration retry_backoff(unsigned failures,
                             backoff_bounds bounds,
                             const base::random_hook& random) {
  constexpr unsigned max_doublings = 4;
  const unsigned doublings = std::min(std::max(failures, 1U) - 1, max_doublings);
  const base::duration backoff = std::min(bounds.initial * (1U << doublings), bounds.max);
  const auto jitter = random() % static_cast<std::uint64_t>(backoff.count() / 2 + 1);
  return backoff / 2 + base::duration(static_cast<base::duration::rep>(jitter));
}

}  // namespace catkintack::control
