#include "catkintack/routing/upstream_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkintack::routing {
namespace {

constexpr double least_warmth = 0.1;

double fade(base::duration age, base::duration time) {
  return std::exp(-base::to_seconds(age) / base::to_seconds(time));
}

bool is_failure(const attempt_observation& observation) {
  switch (observation.result) {
    case attempt_result::answered:
      return observation.server_error;
    case attempt_result::cancelled:
      return false;
    case attempt_result::refused:
    case attempt_result::not_sent:
    case attempt_result::broken:
    case attempt_result::timed_out:
      return true;
  }
  return true;
}

}  // namespace

upstream_state::upstream_state(base::instant now, upstream_record record, bool cold)
    : record_(std::move(record)), heard_at_(now) {
  if (cold) {
    warm_since_ = now;
  }
}

void upstream_state::update(upstream_record record) { record_ = std::move(record); }

void upstream_state::on_sent(base::instant now, double excess) { sent_.push_back({now, excess}); }

double upstream_state::on_ended(base::instant now,
                                const attempt_observation& observation,
                                const router_options& options) {
  auto started = std::find_if(sent_.begin(), sent_.end(), [&](const sent_attempt& attempt) {
    return attempt.at == now - observation.elapsed;
  });
  if (started == sent_.end()) {
    started = sent_.begin();
  }
  double excess = 0;
  if (started != sent_.end()) {
    excess = started->excess;
    sent_.erase(started);
  }
  if (observation.load) {
    on_report(now, *observation.load);
  }
  if (is_failure(observation)) {
    on_failure(now, options);
  } else if (observation.result == attempt_result::answered) {
    on_success(now, options);
  }
  return excess;
}

void upstream_state::on_report(base::instant now, const load_report& report) {
  const double total = static_cast<double>(report.running) + report.queued;
  others_ = std::max(0.0, total - static_cast<double>(sent_.size()));
  reported_at_ = now;
  heard_at_ = now;
  said_leaving_at_ = report.leaving ? std::optional(now) : std::nullopt;
}

void upstream_state::on_failure(base::instant now, const router_options& options) {
  failure_load_ = failure_load_ * fade(now - failed_at_, options.failure_fade);
  failure_load_ += options.failure_load;
  failed_at_ = now;
  ++failures_in_row_;
  if (failures_in_row_ < options.ejection_failures || ejected(now)) {
    return;
  }
  constexpr std::uint32_t max_doublings = 10;
  const std::uint32_t doublings = std::min(ejections_in_row_, max_doublings);
  const base::duration time = options.ejection_time * (1U << doublings);
  ejected_until_ = now + std::min(time, options.max_ejection_time);
  warm_since_ = ejected_until_;
  ++ejections_in_row_;
}

void upstream_state::on_success(base::instant now, const router_options& options) {
  failures_in_row_ = 0;
  if (!ejected(now) && now - ejected_until_ > options.warm_up) {
    ejections_in_row_ = 0;
  }
}

bool upstream_state::leaving(base::instant now, const router_options& options) const {
  return record_.leaving || (said_leaving_at_ && now - *said_leaving_at_ < options.leaving_memory);
}

double upstream_state::excess(base::instant now,
                              const router_options& options,
                              double mean_others) const {
  if (!reported_at_) {
    return 0;
  }
  return fade(now - *reported_at_, options.report_fade) * (others_ - mean_others);
}

double upstream_state::overdue(base::instant now,
                               const router_options& options,
                               double mean_latency) const {
  if (mean_latency <= 0) {
    return 0;
  }
  double sum = 0;
  for (const sent_attempt& attempt : sent_) {
    const double age = base::to_seconds(now - attempt.at) / mean_latency;
    sum += std::max(0.0, age - options.overdue_after);
  }
  return sum * options.overdue_weight;
}

double upstream_state::warmth(base::instant now, const router_options& options) const {
  if (!warm_since_ || now - *warm_since_ >= options.warm_up) {
    return 1;
  }
  const double progress = base::to_seconds(now - *warm_since_) / base::to_seconds(options.warm_up);
  return std::clamp(progress, least_warmth, 1.0);
}

double upstream_state::score(base::instant now,
                             const router_options& options,
                             const service_view& service,
                             double noise) const {
  const double failures =
      failure_load_ > 0 ? failure_load_ * fade(now - failed_at_, options.failure_fade) : 0;
  const double reports = service.report_value * excess(now, options, service.mean_others) +
                         (1 - service.report_value) * noise;
  const double load = static_cast<double>(sent_.size()) + service.mean_others +
                      options.report_trust * reports + failures +
                      overdue(now, options, service.mean_latency);
  return (load + 1) / (static_cast<double>(record_.slots) * warmth(now, options));
}

}  // namespace catkintack::routing
