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
      repeats(options.repeats),
      remote_bytes(options.remote_bytes_per_second, options.remote_bytes_burst) {}

}  // namespace catkintack::serving
