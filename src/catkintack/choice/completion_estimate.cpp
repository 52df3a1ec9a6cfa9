#include "catkintack/choice/completion_estimate.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

// An upstream that gave no reading is taken to be slower than one that did.
constexpr probe_result unknown_result{.running = 0, .queued = 0, .slots = 1, .slowdown = 2.0};
// Upstreams queue about twice their slots before they refuse calls; half of that is left to calls
// that other hosts send at the same moment.
constexpr std::uint32_t queue_per_slot = 1;

base::duration scaled(base::duration span, double factor) {
  return base::duration(
      static_cast<base::duration::rep>(static_cast<double>(span.count()) * factor));
}

base::duration delay_to(upstream_distance where, const estimate_options& options) {
  switch (where) {
    case upstream_distance::same_failure_domain:
      return base::duration::zero();
    case upstream_distance::same_region:
      return options.domain_round_trip;
    case upstream_distance::other_region:
      return options.region_round_trip;
  }
  return options.region_round_trip;
}

}  // namespace

completion_estimate estimate_completion(const candidate& target,
                                        const service_time_profile& service_time,
                                        const estimate_options& options) {
  const probe_result reading = target.probe.value_or(unknown_result);
  const std::uint32_t slots = std::max(reading.slots, 1U);
  const std::uint32_t ahead = reading.running + reading.queued + target.sent_since_probe;
  const double slowdown = reading.slowdown * (target.warming_up ? options.warm_up_slowdown : 1.0);
  const bool fills = ahead + 1 >= slots;
  const base::duration unhindered = scaled(service_time.typical, slowdown);
  const base::duration own =
      fills ? scaled(unhindered, service_time.saturated_slowdown) : unhindered;
  completion_estimate result;
  result.would_queue = ahead >= slots;
  result.queue_full = ahead >= slots + queue_per_slot * slots;
  if (result.would_queue) {
    // The calls that run now are on average half done.
    const double rounds = (static_cast<double>(ahead - slots) + 0.5) / slots + 0.5 / slots;
    result.total += scaled(own, rounds);
  }
  result.total += own + delay_to(target.distance, options);
  return result;
}

}  // namespace catkintack::choice
