#include "catkintack/choice/completion_estimate.hpp"

#include <algorithm>

namespace catkintack::choice {
namespace {

// An upstream that gave no reading is taken to be slower than one that did.
constexpr probe_reading unknown_reading{.running = 0, .queued = 0, .slots = 1, .slowness = 2.0};
// Upstreams queue about twice their slots before they refuse calls; half of that is left to calls
// that other hosts send at the same moment.
constexpr std::uint32_t queue_per_slot = 1;

base::duration scaled(base::duration span, double factor) {
  return base::duration(
      static_cast<base::duration::rep>(static_cast<double>(span.count()) * factor));
}

base::duration delay_to(distance where, const estimate_options& options) {
  switch (where) {
    case distance::same_failure_domain:
      return base::duration::zero();
    case distance::same_region:
      return options.domain_delay;
    case distance::other_region:
      return options.region_delay;
  }
  return options.region_delay;
}

}  // namespace

completion_estimate estimate_completion(const candidate& target,
                                        const work_profile& work,
                                        const estimate_options& options) {
  const probe_reading reading = target.reading.value_or(unknown_reading);
  const std::uint32_t slots = std::max(reading.slots, 1U);
  const std::uint32_t ahead = reading.running + reading.queued + target.unseen_sends;
  const double slowness = reading.slowness * (target.cold ? options.cold_slowdown : 1.0);
  const bool fills = ahead + 1 >= slots;
  const base::duration unhindered = scaled(work.usual, slowness);
  const base::duration own = fills ? scaled(unhindered, work.full_slowdown) : unhindered;
  completion_estimate result;
  result.waits = ahead >= slots;
  result.full = ahead >= slots + queue_per_slot * slots;
  if (result.waits) {
    // The calls that run now are on average half done.
    const double rounds = (static_cast<double>(ahead - slots) + 0.5) / slots + 0.5 / slots;
    result.total += scaled(own, rounds);
  }
  result.total += own + delay_to(target.where, options);
  return result;
}

}  // namespace catkintack::choice
