/// @file
/// HTTP server for operators and the health check of the external load balancer.
#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>

#include "catkintack/base/event_log.hpp"
#include "catkintack/base/metric_registry.hpp"
#include "catkintack/daemon/control_status.hpp"
#include "catkintack/daemon/http_listener.hpp"

namespace catkintack::daemon {

/// @brief Data sources of the admin pages.
struct admin_sources {
  base::host_id host;
  base::incarnation run;
  std::function<control_status()> status;
  const base::event_log* events = nullptr;
  const base::metric_registry* metrics = nullptr;
};

/// @brief Opens the admin listener: /healthz, /readyz, /status, /metrics and /events.
/// @return The listener, or a daemon_error when the address cannot be bound.
boost::leaf::result<std::unique_ptr<http_listener>> open_admin_server(const base::address& where,
                                                                      admin_sources sources);

}  // namespace catkintack::daemon
