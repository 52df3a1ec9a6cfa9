#include "catkintack/serving/limit_knowledge.hpp"

#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

void observe_limit(traffic_state& state,
                   const base::upstream_id& upstream,
                   const choice::limit_observation& seen,
                   limit_observer observer,
                   const std::string& source) {
  const std::optional<base::request_rate> before = state.upstream_limits.limit_of(upstream);
  if (!state.upstream_limits.observe(upstream, seen)) {
    return;
  }
  if (!seen.limit) {
    state.permits.forget(upstream);
  }
  state.metrics.add("upstream_limit_changes_total");
  state.log.write("upstream_limited", {{"upstream", upstream.value()},
                                       {"per_second", base::to_string(seen.limit)},
                                       {"before", base::to_string(before)},
                                       {"age_us", (state.clock() - seen.observed_at).count()},
                                       {"source", source}});
  if (state.on_limit_changed) {
    state.on_limit_changed(upstream, observer);
  }
}

}  // namespace catkintack::serving
