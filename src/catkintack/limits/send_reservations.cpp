#include "catkintack/limits/send_reservations.hpp"

#include <algorithm>

namespace catkintack::limits {
namespace {

// An upstream that accepts next to nothing is asked about again after this time.
constexpr base::duration longest_interval = std::chrono::minutes(1);

// Wait before the first send to a cold upstream.
constexpr base::duration max_first_wait = std::chrono::seconds(2);

base::duration interval_of(base::request_rate rate) {
  const double longest = base::to_seconds(longest_interval);
  const double seconds = rate.per_second() > 1 / longest ? 1 / rate.per_second() : longest;
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

send_reservation send_reservations::reserve(const base::upstream_id& id,
                                            base::request_rate rate,
                                            base::instant now) {
  const base::duration interval = interval_of(rate);
  base::instant& next = next_.try_emplace(id, now + interval).first->second;
  if (rate.per_second() <= 0) {
    return {.granted = false, .wait = interval};
  }
  next = std::min(next, now + horizon_ + interval);
  const base::instant start = std::max(now, next);
  if (start - now > horizon_) {
    return {.granted = false, .wait = start - now - horizon_};
  }
  next = start + interval;
  return {.granted = true, .wait = start - now};
}

send_reservation send_reservations::reserve_now(const base::upstream_id& id,
                                                base::request_rate rate,
                                                base::instant now) {
  const base::duration interval = interval_of(rate);
  const base::duration first_wait = std::min(interval, max_first_wait);
  base::instant& next = next_.try_emplace(id, now + first_wait).first->second;
  if (rate.per_second() <= 0) {
    return {.granted = false, .wait = interval};
  }
  next = std::min(next, now + interval);
  if (next > now) {
    return {.granted = false, .wait = next - now};
  }
  next = now + interval;
  return {.granted = true};
}

}  // namespace catkintack::limits
