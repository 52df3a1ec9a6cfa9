#include "catkintack/choice/route_statistics.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

// Assumed for a route without responses; small enough that its first call may leave the region.
constexpr double default_bytes = 1500;
// Deadlines of first attempts on one route differ by up to this fraction of the longest. A shorter
// deadline is taken for that of a retry.
constexpr double deadline_spread = 0.16;

constexpr double min_slowdown = 0.1;
// A higher ratio is noise rather than the effect of a saturated upstream.
constexpr double max_saturated_slowdown = 3.0;

base::duration fraction_of(base::duration time, double fraction) {
  return std::chrono::duration_cast<base::duration>(time * fraction);
}

}  // namespace

void route_statistics::on_response(const std::string& route,
                                   base::duration elapsed,
                                   const probe_result& chosen,
                                   std::uint64_t exchanged_bytes) {
  record& entry = routes_[route];
  const std::uint32_t ahead = chosen.running + chosen.queued;
  const double seconds = base::to_seconds(elapsed) / std::max(chosen.slowdown, min_slowdown);
  if (ahead + 1 < chosen.slots) {
    entry.unsaturated_seconds.add(seconds);
  } else if (ahead + 1 == chosen.slots) {
    entry.saturated_seconds.add(seconds);
  }
  entry.bytes.add(static_cast<double>(exchanged_bytes));
}

base::duration route_statistics::on_deadline(const std::string& route, base::duration deadline) {
  record& entry = routes_[route];
  entry.longest_deadline = std::max(entry.longest_deadline, deadline);
  if (deadline >= fraction_of(entry.longest_deadline, 1 - deadline_spread)) {
    return base::duration::zero();
  }
  // The deadline of the caller's first attempt is unknown; the middle of the range is assumed.
  return fraction_of(entry.longest_deadline, 1 - deadline_spread / 2) - deadline;
}

service_time_profile route_statistics::service_time(const std::string& route,
                                                    base::duration fallback) const {
  service_time_profile result{.typical = fallback};
  const auto found = routes_.find(route);
  if (found == routes_.end()) {
    return result;
  }
  const double saturated = found->second.saturated_seconds.value_or(0);
  const double unsaturated =
      found->second.unsaturated_seconds.value_or(saturated / result.saturated_slowdown);
  if (unsaturated > 0) {
    result.typical =
        std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(unsaturated));
  }
  if (unsaturated > 0 && saturated > 0) {
    result.saturated_slowdown = std::clamp(saturated / unsaturated, 1.0, max_saturated_slowdown);
  }
  return result;
}

std::uint64_t route_statistics::exchanged_bytes(const std::string& route) const {
  const auto found = routes_.find(route);
  return static_cast<std::uint64_t>(
      found == routes_.end() ? default_bytes : found->second.bytes.value_or(default_bytes));
}

}  // namespace catkintack::choice
