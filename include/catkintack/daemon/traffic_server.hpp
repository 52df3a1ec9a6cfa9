/// @file
/// HTTP server for callers: converts HTTP requests to calls of the decision core.
#pragma once

#include <atomic>
#include <boost/leaf.hpp>
#include <memory>

#include "catkintack/base/metric_registry.hpp"
#include "catkintack/daemon/call_worker.hpp"
#include "catkintack/daemon/http_listener.hpp"
#include "catkintack/daemon/settings.hpp"
#include "catkintack/delivery/request_identity.hpp"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace catkintack::daemon {

/// @brief Listener for callers.
class traffic_server {
 public:
  /// @brief Starts to listen.
  /// @param self This host's incarnation, which the tokens for callers contain.
  /// @return The server, or a daemon_error when the address cannot be bound.
  static boost::leaf::result<std::unique_ptr<traffic_server>> open(const settings& settings,
                                                                   delivery::host_incarnation self,
                                                                   call_worker& worker,
                                                                   base::metric_registry& metrics);

  /// @brief Sends "Connection: close" from now on, so that callers send their next request to
  /// another host.
  void set_leaving() { leaving_ = true; }

 private:
  traffic_server(const settings& settings,
                 delivery::host_incarnation self,
                 call_worker& worker,
                 base::metric_registry& metrics);
  void add_routes(httplib::Server& server);
  void serve(const httplib::Request& request, httplib::Response& response);
  void count_outcome(const delivery::final_response& end);
  bool is_idempotent_service(const base::service_id& service) const;
  std::string token() const;
  bool requires_request_id(const base::service_id& service) const;
  /// Limits the time left to the stop limit: a graceful shutdown would cut off a longer call.
  std::optional<base::duration> limit_time_left(std::optional<base::duration> requested) const;

  settings settings_;
  delivery::host_incarnation self_;
  call_worker& worker_;
  base::metric_registry& metrics_;
  std::atomic<bool> leaving_ = false;
  std::unique_ptr<http_listener> listener_;
};

}  // namespace catkintack::daemon
