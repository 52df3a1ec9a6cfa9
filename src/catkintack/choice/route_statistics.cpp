#include "catkintack/choice/route_statistics.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

// Taken for a route without answers so far; small enough that a first call may leave the region.
constexpr double unknown_bytes = 1500;
// First attempts of one route ask for deadlines that differ by up to this part of the longest.
constexpr double deadline_spread = 0.16;

constexpr double least_slowness = 0.1;
// A higher ratio comes from chance, not from a full upstream.
constexpr double most_slowdown = 3.0;

base::duration part_of(base::duration span, double part) {
  return std::chrono::duration_cast<base::duration>(span * part);
}

}  // namespace

void route_statistics::on_response(const std::string& route,
                                   base::duration elapsed,
                                   const probe_result& chosen,
                                   std::uint64_t exchanged_bytes) {
  record& known = routes_[route];
  const std::uint32_t ahead = chosen.running + chosen.queued;
  const double seconds = base::to_seconds(elapsed) / std::max(chosen.slowdown, least_slowness);
  if (ahead + 1 < chosen.slots) {
    known.spare_seconds.add(seconds);
  } else if (ahead + 1 == chosen.slots) {
    known.full_seconds.add(seconds);
  }
  known.bytes.add(static_cast<double>(exchanged_bytes));
}

base::duration route_statistics::on_deadline(const std::string& route, base::duration deadline) {
  record& known = routes_[route];
  known.longest_deadline = std::max(known.longest_deadline, deadline);
  if (deadline >= part_of(known.longest_deadline, 1 - deadline_spread)) {
    return base::duration::zero();
  }
  // The caller's own first deadline is not known; the middle of the spread is.
  return part_of(known.longest_deadline, 1 - deadline_spread / 2) - deadline;
}

service_time_profile route_statistics::service_time(const std::string& route,
                                                    base::duration otherwise) const {
  service_time_profile result{.typical = otherwise};
  const auto found = routes_.find(route);
  if (found == routes_.end()) {
    return result;
  }
  const double full = found->second.full_seconds.value_or(0);
  const double spare = found->second.spare_seconds.value_or(full / result.saturated_slowdown);
  if (spare > 0) {
    result.typical =
        std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(spare));
  }
  if (spare > 0 && full > 0) {
    result.saturated_slowdown = std::clamp(full / spare, 1.0, most_slowdown);
  }
  return result;
}

std::uint64_t route_statistics::exchanged_bytes(const std::string& route) const {
  const auto found = routes_.find(route);
  return static_cast<std::uint64_t>(
      found == routes_.end() ? unknown_bytes : found->second.bytes.value_or(unknown_bytes));
}

}  // namespace catkintack::choice
