#include "catkintack/serving/limit_knowledge.hpp"

#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {
namespace {

void on_changed(traffic_state& state,
                const base::upstream_id& upstream,
                const choice::limit_state& before,
                limit_observer observer,
                const std::string& source) {
  const choice::limit_state after = state.upstream_limits.state_of(upstream);
  if (!after.limit) {
    state.permits.forget(upstream);
  }
  state.metrics.add("upstream_limit_changes_total");
  state.log.write("upstream_limited", {{"upstream", upstream.value()},
                                       {"per_second", base::to_string(after.limit)},
                                       {"before", base::to_string(before.limit)},
                                       {"version", after.version},
                                       {"source", source}});
  if (state.on_limit_changed) {
    state.on_limit_changed(upstream, observer);
  }
}

}  // namespace

void observe_limit(traffic_state& state,
                   const base::upstream_id& upstream,
                   const std::optional<base::request_rate>& limit,
                   const std::string& source) {
  const choice::limit_state before = state.upstream_limits.state_of(upstream);
  const base::instant now = state.clock();
  const bool changed = limit ? state.upstream_limits.on_named(upstream, *limit, now)
                             : state.upstream_limits.on_not_named(upstream, now);
  if (changed) {
    on_changed(state, upstream, before, limit_observer::this_host, source);
  }
}

void adopt_limit(traffic_state& state,
                 const base::upstream_id& upstream,
                 const choice::limit_state& reported,
                 const std::string& source) {
  const choice::limit_state before = state.upstream_limits.state_of(upstream);
  if (state.upstream_limits.on_report(upstream, reported, state.clock())) {
    on_changed(state, upstream, before, limit_observer::other_host, source);
  }
}

}  // namespace catkintack::serving
