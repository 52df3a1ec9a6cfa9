#include "catkintack/choice/warm_up_limits.hpp"

#include <algorithm>
#include <cmath>

namespace catkintack::choice {

std::optional<send_limit> limit_in_force(const std::optional<base::request_rate>& named,
                                         bool warming_up,
                                         double warm_up_rate) {
  if (warming_up && warm_up_rate > 0) {
    const base::request_rate warm_up(warm_up_rate);
    return send_limit{.rate = std::min(named.value_or(warm_up), warm_up),
                      .cause = limit_cause::warming_up};
  }
  return named ? std::optional(send_limit{.rate = *named}) : std::nullopt;
}

std::optional<send_limit> limit_of_request(const std::optional<send_limit>& known,
                                           const std::optional<base::request_rate>& requested) {
  if (!requested || !std::isfinite(requested->per_second()) || requested->per_second() <= 0) {
    return known;
  }
  return send_limit{.rate = known ? std::min(known->rate, *requested) : *requested,
                    .cause = limit_cause::warming_up};
}

}  // namespace catkintack::choice
