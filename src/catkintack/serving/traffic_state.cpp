#include "catkintack/serving/traffic_state.hpp"

#include <utility>

namespace catkintack::serving {

traffic_state::traffic_state(serving_options settings,
                             base::clock_hook clock_source,
                             base::random_hook random_source,
                             logging::structured_log& log_target)
    : options(std::move(settings)),
      clock(std::move(clock_source)),
      random(std::move(random_source)),
      log(log_target),
      pool(options.max_idle_per_upstream, options.max_idle_time),
      outlier_detector(options.outlier_detection),
      permits(options.permits, random),
      relays({.region = options.region, .failure_domain = options.failure_domain}),
      repeats(options.repeats),
      remote_bytes(options.remote_bytes_per_second, options.remote_bytes_burst) {}

double traffic_state::warm_up_rate(const base::service_id& service) const {
  return table ? table->profile(service).warm_up_rate : 0;
}

std::optional<choice::send_limit> traffic_state::send_limit_of(const base::upstream_id& id) const {
  const bool warming_up = upstreams.is_warming_up(id, clock());
  const double rate = warming_up ? warm_up_rate(upstreams.find(id)->listed.record.service) : 0;
  return choice::limit_in_force(upstream_limits.limit_of(id), warming_up, rate);
}

bool traffic_state::is_cold(const base::upstream_id& id) const {
  const auto limit = send_limit_of(id);
  return limit && limit->cause == choice::limit_cause::warming_up;
}

bool traffic_state::within_limit(const base::upstream_id& id) const {
  const auto limit = send_limit_of(id);
  return !limit || permits.usable(id, clock(), limit->cause);
}

bool traffic_state::take_permit(const base::upstream_id& id) {
  const auto limit = send_limit_of(id);
  const bool allowed = !limit || permits.take(id, clock(), limit->cause);
  if (limit && limit->cause == choice::limit_cause::warming_up) {
    metrics.add(allowed ? "cold_upstream_sends_total" : "cold_upstream_sends_held_back_total");
  }
  return allowed;
}

void traffic_state::notify_crashes_changed() {
  const auto& quarantined = crashes.quarantined();
  for (const base::request_fingerprint& request : quarantined) {
    if (!logged_quarantine_.contains(request)) {
      metrics.add("requests_quarantined_total");
      log.write("request_quarantined", {{"fingerprint", request.value()},
                                        {"crashes", crashes.find(request).crashes.size()}});
    }
  }
  for (const base::request_fingerprint& request : logged_quarantine_) {
    if (!quarantined.contains(request)) {
      log.write("quarantine_ended", {{"fingerprint", request.value()}});
    }
  }
  logged_quarantine_ = quarantined;
  if (on_crashes_changed) {
    on_crashes_changed();
  }
}

}  // namespace catkintack::serving
