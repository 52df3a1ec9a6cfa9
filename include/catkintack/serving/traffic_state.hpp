/// @file
/// What the traffic side knows and shares among calls.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/metric_registry.hpp"
#include "catkintack/choice/outlier_detector.hpp"
#include "catkintack/choice/route_statistics.hpp"
#include "catkintack/directory/endpoint_directory.hpp"
#include "catkintack/limits/byte_budget.hpp"
#include "catkintack/limits/repeat_allowance.hpp"
#include "catkintack/logging/structured_log.hpp"
#include "catkintack/routes/route_table.hpp"
#include "catkintack/serving/connection_pool.hpp"
#include "catkintack/serving/send_history.hpp"
#include "catkintack/serving/serving_options.hpp"
#include "catkintack/serving/stop_stage.hpp"

namespace catkintack::serving {

/// @brief State of the one traffic thread. Not thread-safe.
struct traffic_state {
  traffic_state(serving_options settings,
                base::clock_hook clock_source,
                base::random_hook random_source,
                logging::structured_log& log_target);

  serving_options options;
  base::clock_hook clock;
  base::random_hook random;
  logging::structured_log& log;
  base::metric_registry metrics;

  /// Null until a configuration is known; calls keep the table they were admitted with.
  std::shared_ptr<const routes::route_table> table;
  directory::endpoint_directory upstreams;

  connection_pool pool;
  choice::route_statistics experience;
  choice::outlier_detector suspicion;
  limits::repeat_allowance repeats;
  limits::byte_budget remote_bytes;  ///< Between regions.
  send_history sends;
  /// Services whose probes carry no load: probing them tells nothing.
  std::map<base::service_id, bool> probes_without_load;
  stop_stage stop = stop_stage::running;
  std::size_t open_calls = 0;  ///< Calls read from callers and not yet answered.

  /// @brief Whether new callers should be sent here.
  bool ready() const { return stop == stop_stage::running && table && upstreams.size() > 0; }
};

}  // namespace catkintack::serving
