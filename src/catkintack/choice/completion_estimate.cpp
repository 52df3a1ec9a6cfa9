#include "catkintack/choice/completion_estimate.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

// An upstream without a probe result is assumed to be slower than one that answered its probe.
constexpr probe_result unknown_result{.running = 0, .queued = 0, .slots = 1, .slowdown = 2.0};
// Queued calls per slot at which an upstream counts as full. Upstreams refuse calls at about two
// per slot; the difference is left for calls that other hosts send at the same time.
constexpr std::uint32_t queue_per_slot = 1;

base::duration scale(base::duration time, double factor) {
  return base::duration(
      static_cast<base::duration::rep>(static_cast<double>(time.count()) * factor));
}

base::duration round_trip_to(upstream_distance distance, const estimate_options& options) {
  switch (distance) {
    case upstream_distance::same_failure_domain:
      return base::duration::zero();
    case upstream_distance::same_region:
      return options.domain_round_trip;
    case upstream_distance::other_region:
      return options.region_round_trip;
  }
  return options.region_round_trip;
}

/// @brief Returns the number of slots at which an upstream completes the most calls per second.
std::uint32_t best_concurrency(std::uint32_t slots, double saturated_slowdown) {
  const bool last_slot_pays = saturated_slowdown * (slots - 1) < slots;
  return last_slot_pays ? slots : slots - 1;
}

}  // namespace

completion_estimate estimate_completion(const candidate& target,
                                        const service_time_profile& service_time,
                                        const estimate_options& options) {
  const probe_result probe = target.probe.value_or(unknown_result);
  const std::uint32_t slots = std::max(probe.slots, 1U);
  const std::uint32_t ahead = probe.running + probe.queued + target.sent_since_probe;
  const double slowdown = probe.slowdown * (target.warming_up ? options.warm_up_slowdown : 1.0);
  const bool saturated = ahead + 1 >= slots;
  const base::duration unsaturated = scale(service_time.typical, slowdown);
  const base::duration service =
      saturated ? scale(unsaturated, service_time.saturated_slowdown) : unsaturated;
  completion_estimate result;
  result.would_queue = ahead >= slots;
  result.queue_full = ahead >= slots + queue_per_slot * slots;
  const double max_slowdown =
      std::max(service_time.usual_slowdown, 1.0) * service_time.saturated_slowdown;
  const std::uint32_t usable_slots = best_concurrency(slots, service_time.saturated_slowdown);
  if (slowdown <= max_slowdown && ahead < usable_slots) {
    result.spare_slots = usable_slots - ahead;
  }
  if (result.would_queue) {
    // Number of service times until a slot is free. On average, running calls are half complete.
    const double service_times = (static_cast<double>(ahead - slots) + 0.5) / slots + 0.5 / slots;
    result.total += scale(service, service_times);
  }
  result.total += service + round_trip_to(target.distance, options);
  return result;
}

}  // namespace catkintack::choice
