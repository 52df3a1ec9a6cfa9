#include "catkintack/routing/upstream_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkintack::routing {
namespace {

constexpr double min_warm_up_factor = 0.1;

double decay(base::duration age, base::duration time) {
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
    : record_(std::move(record)), last_contact_(now) {
  if (cold) {
    warm_up_started_at_ = now;
  }
}

void upstream_state::update(upstream_record record) { record_ = std::move(record); }

void upstream_state::on_sent(base::instant now, double excess) {
  in_flight_.push_back({now, excess});
}

double upstream_state::on_ended(base::instant now,
                                const attempt_observation& observation,
                                const router_options& options) {
  // Attempts carry no id here; the one that started when the observed attempt did is taken, or else
  // the oldest.
  auto started = std::find_if(
      in_flight_.begin(), in_flight_.end(),
      [&](const sent_attempt& attempt) { return attempt.at == now - observation.elapsed; });
  if (started == in_flight_.end()) {
    started = in_flight_.begin();
  }
  double excess = 0;
  if (started != in_flight_.end()) {
    excess = started->excess;
    in_flight_.erase(started);
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
  other_load_ = std::max(0.0, total - static_cast<double>(in_flight_.size()));
  reported_at_ = now;
  last_contact_ = now;
  reported_leaving_at_ = report.leaving ? std::optional(now) : std::nullopt;
}

void upstream_state::on_failure(base::instant now, const router_options& options) {
  failure_load_ = failure_load_ * decay(now - last_failure_at_, options.failure_decay_time);
  failure_load_ += options.failure_load;
  last_failure_at_ = now;
  ++failures_in_row_;
  if (failures_in_row_ < options.ejection_failures || ejected(now)) {
    return;
  }
  constexpr std::uint32_t max_doublings = 10;
  const std::uint32_t doublings = std::min(ejections_in_row_, max_doublings);
  const base::duration time = options.ejection_time * (1U << doublings);
  ejected_until_ = now + std::min(time, options.max_ejection_time);
  warm_up_started_at_ = ejected_until_;
  ++ejections_in_row_;
}

void upstream_state::on_success(base::instant now, const router_options& options) {
  failures_in_row_ = 0;
  if (!ejected(now) && now - ejected_until_ > options.warm_up) {
    ejections_in_row_ = 0;
  }
}

bool upstream_state::leaving(base::instant now, const router_options& options) const {
  return record_.leaving ||
         (reported_leaving_at_ && now - *reported_leaving_at_ < options.leaving_report_ttl);
}

double upstream_state::excess(base::instant now,
                              const router_options& options,
                              double mean_other_load) const {
  if (!reported_at_) {
    return 0;
  }
  return decay(now - *reported_at_, options.report_decay_time) * (other_load_ - mean_other_load);
}

double upstream_state::overdue(base::instant now,
                               const router_options& options,
                               double mean_latency) const {
  if (mean_latency <= 0) {
    return 0;
  }
  double sum = 0;
  for (const sent_attempt& attempt : in_flight_) {
    const double age = base::to_seconds(now - attempt.at) / mean_latency;
    sum += std::max(0.0, age - options.overdue_after);
  }
  return sum * options.overdue_weight;
}

double upstream_state::warm_up_factor(base::instant now, const router_options& options) const {
  if (!warm_up_started_at_ || now - *warm_up_started_at_ >= options.warm_up) {
    return 1;
  }
  const double progress =
      base::to_seconds(now - *warm_up_started_at_) / base::to_seconds(options.warm_up);
  return std::clamp(progress, min_warm_up_factor, 1.0);
}

double upstream_state::score(base::instant now,
                             const router_options& options,
                             const service_figures& service,
                             double noise) const {
  const double failures =
      failure_load_ > 0 ? failure_load_ * decay(now - last_failure_at_, options.failure_decay_time)
                        : 0;
  // The less reports have predicted latency so far, the more noise replaces them, so that hosts do
  // not all choose the upstream with the lowest report.
  const double reports = service.report_confidence * excess(now, options, service.mean_other_load) +
                         (1 - service.report_confidence) * noise;
  const double load = static_cast<double>(in_flight_.size()) + service.mean_other_load +
                      options.report_weight * reports + failures +
                      overdue(now, options, service.mean_latency);
  return (load + 1) / (static_cast<double>(record_.slots) * warm_up_factor(now, options));
}

}  // namespace catkintack::routing
