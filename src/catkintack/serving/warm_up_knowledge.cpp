#include "catkintack/serving/warm_up_knowledge.hpp"

#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

void observe_warm_up(traffic_state& state, const base::upstream_id& upstream, base::duration left) {
  const auto* const known = state.upstreams.find(upstream);
  if (known == nullptr || state.warm_up_rate(known->listed.record.service) <= 0) {
    return;
  }
  const base::instant now = state.clock();
  const bool was_cold = state.upstreams.is_warming_up(upstream, now);
  const bool is_cold = left > base::duration::zero();
  state.upstreams.set_warm_up_end(upstream, now + left);
  if (was_cold == is_cold) {
    return;
  }
  state.metrics.add(is_cold ? "upstreams_turned_cold_total" : "upstreams_turned_warm_total");
  state.log.write(is_cold ? "upstream_cold" : "upstream_warm",
                  {{"upstream", upstream.value()}, {"left_us", left.count()}, {"source", "probe"}});
  drop_finished_warm_ups(state);
}

void drop_finished_warm_ups(traffic_state& state) {
  for (const base::upstream_id& upstream : state.permits.requested_for_warm_up()) {
    if (!state.send_limit_of(upstream)) {
      state.permits.forget(upstream);
      state.log.write("warm_up_permits_dropped", {{"upstream", upstream.value()}});
    }
  }
}

}  // namespace catkintack::serving
