#include "catkintack/control/limit_report.hpp"

#include <cmath>

namespace catkintack::control {
namespace {

bool is_valid(const limit_report& report) {
  const auto& limit = report.state.limit;
  return !limit || (std::isfinite(limit->per_second()) && limit->per_second() >= 0);
}

}  // namespace

std::optional<limit_report> make_limit_report(const serving::traffic_state& state,
                                              const base::upstream_id& upstream) {
  const auto* const known = state.upstreams.find(upstream);
  const choice::limit_state limit = state.upstream_limits.state_of(upstream);
  if (known == nullptr || limit.version == 0) {
    return std::nullopt;
  }
  return limit_report{.upstream = upstream, .run = known->listed.run, .state = limit};
}

std::vector<limit_report> limit_reports_since(const serving::traffic_state& state,
                                              std::uint64_t change) {
  std::vector<limit_report> result;
  for (const base::upstream_id& upstream : state.upstream_limits.changed_since(change)) {
    if (auto report = make_limit_report(state, upstream)) {
      result.push_back(std::move(*report));
    }
  }
  return result;
}

void apply_limit_report(serving::traffic_state& state,
                        const limit_report& report,
                        const std::string& source) {
  const auto* const known = state.upstreams.find(report.upstream);
  if (known == nullptr || known->listed.run != report.run || !is_valid(report)) {
    return;
  }
  serving::adopt_limit(state, report.upstream, report.state, source);
}

}  // namespace catkintack::control
