#include "catkintack/choice/route_experience.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

// Taken for a route without answers so far; small enough that a first call may leave the region.
constexpr double unknown_bytes = 1500;
// Callers of one route may ask for slightly different deadlines.
constexpr base::duration same_deadline = std::chrono::milliseconds(20);

}  // namespace

void route_experience::on_answer(const std::string& route,
                                 base::duration elapsed,
                                 double slowness,
                                 std::uint64_t exchanged_bytes) {
  record& known = routes_[route];
  known.work_seconds.add(base::to_seconds(elapsed) / std::max(slowness, 0.1));
  known.bytes.add(static_cast<double>(exchanged_bytes));
}

base::duration route_experience::on_deadline(const std::string& route, base::duration deadline) {
  record& known = routes_[route];
  known.longest_deadline = std::max(known.longest_deadline, deadline);
  const base::duration spent = known.longest_deadline - deadline;
  return spent <= same_deadline ? base::duration::zero() : spent;
}

base::duration route_experience::usual_work(const std::string& route,
                                            base::duration otherwise) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) {
    return otherwise;
  }
  const double seconds = found->second.work_seconds.value_or(base::to_seconds(otherwise));
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

std::uint64_t route_experience::exchanged_bytes(const std::string& route) const {
  const auto found = routes_.find(route);
  return static_cast<std::uint64_t>(
      found == routes_.end() ? unknown_bytes : found->second.bytes.value_or(unknown_bytes));
}

}  // namespace catkintack::choice
