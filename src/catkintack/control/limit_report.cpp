#include "catkintack/control/limit_report.hpp"

#include <chrono>
#include <cmath>

namespace catkintack::control {
namespace {

constexpr base::duration max_age = std::chrono::hours(24);

bool is_valid(const limit_report& report) {
  const bool valid_limit = !report.limit || (std::isfinite(report.limit->per_second()) &&
                                             report.limit->per_second() >= 0);
  return valid_limit && report.age_us >= 0 && report.age_us <= max_age.count();
}

}  // namespace

std::optional<limit_report> make_limit_report(const serving::traffic_state& state,
                                              const base::upstream_id& upstream) {
  const auto* const known = state.upstreams.find(upstream);
  const choice::limit_observation latest = state.upstream_limits.observation_of(upstream);
  if (known == nullptr || latest.observed_at == base::instant::min()) {
    return std::nullopt;
  }
  return limit_report{.upstream = upstream,
                      .run = known->listed.run,
                      .limit = latest.limit,
                      .age_us = (state.clock() - latest.observed_at).count()};
}

std::vector<limit_report> limit_reports_since(const serving::traffic_state& state,
                                              std::uint64_t change) {
  std::vector<limit_report> result;
  for (const auto& [upstream, latest] : state.upstream_limits.changed_since(change)) {
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
  serving::observe_limit(
      state, report.upstream,
      {.limit = report.limit, .observed_at = state.clock() - base::duration(report.age_us)},
      serving::limit_observer::other_host, source);
}

}  // namespace catkintack::control
