/// @file
/// Serves callers: turns HTTP requests into calls of the decision core.
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

/// @brief The listener for callers.
class traffic_server {
 public:
  /// @brief Starts to listen.
  /// @param settings Where, and the limits.
  /// @param self This incarnation, named in the tokens for callers.
  /// @param worker Runs the calls.
  /// @param metrics Counts the calls.
  /// @return The server, or a daemon_error.
  static boost::leaf::result<std::unique_ptr<traffic_server>> open(const settings& settings,
                                                                   delivery::host_incarnation self,
                                                                   call_worker& worker,
                                                                   base::metric_registry& metrics);

  /// @brief Asks callers to take their next request elsewhere.
  void set_leaving() { leaving_ = true; }

 private:
  traffic_server(const settings& settings,
                 delivery::host_incarnation self,
                 call_worker& worker,
                 base::metric_registry& metrics);
  void add_routes(httplib::Server& server);
  void serve(const httplib::Request& request, httplib::Response& response);
  void count(const delivery::final_response& end);
  bool is_idempotent_service(const base::service_id& service) const;
  std::string token() const;
  bool requires_id(const base::service_id& service) const;
  /// A call that outlives the longest planned stop would be cut by one.
  std::optional<base::duration> bounded_time_left(std::optional<base::duration> asked) const;

  settings settings_;
  delivery::host_incarnation self_;
  call_worker& worker_;
  base::metric_registry& metrics_;
  std::atomic<bool> leaving_ = false;
  std::unique_ptr<http_listener> listener_;
};

}  // namespace catkintack::daemon
