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
