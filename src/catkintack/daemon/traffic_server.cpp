#include "catkintack/daemon/traffic_server.hpp"

#include <httplib.h>

#include <algorithm>
#include <utility>

#include "caller_request.hpp"
#include "caller_response.hpp"
#include "catkintack/net/headers.hpp"

namespace catkintack::daemon {
namespace {

namespace headers = net::headers;
using delivery::final_response;
using delivery::outcome;

constexpr int status_bad_request = 400;
constexpr int status_precondition_required = 428;

}  // namespace

boost::leaf::result<std::unique_ptr<traffic_server>> traffic_server::open(
    const settings& settings,
    delivery::host_incarnation self,
    call_worker& worker,
    base::metric_registry& metrics) {
  std::unique_ptr<traffic_server> server(
      new traffic_server(settings, std::move(self), worker, metrics));
  http_listener_options options;
  options.where = settings.callers;
  options.max_connections = settings.max_connections;
  options.max_body_bytes = settings.max_body_bytes;
  BOOST_LEAF_ASSIGN(server->listener_,
                    http_listener::open(options, [&server](httplib::Server& routes) {
                      server->add_routes(routes);
                    }));
  return server;
}

traffic_server::traffic_server(const settings& settings,
                               delivery::host_incarnation self,
                               call_worker& worker,
                               base::metric_registry& metrics)
    : settings_(settings), self_(std::move(self)), worker_(worker), metrics_(metrics) {}

std::string traffic_server::token() const {
  return delivery::make_token(self_, worker_.newest_epoch());
}

bool traffic_server::requires_request_id(const base::service_id& service) const {
  const auto configured = settings_.services.find(service);
  return configured == settings_.services.end() || configured->second.require_request_id;
}

std::optional<base::duration> traffic_server::limit_time_left(
    std::optional<base::duration> requested) const {
  return requested ? std::min(*requested, settings_.stop_limit) : requested;
}

bool traffic_server::is_idempotent_service(const base::service_id& service) const {
  const auto configured = settings_.services.find(service);
  return configured != settings_.services.end() && configured->second.idempotent;
}

void traffic_server::serve(const httplib::Request& request, httplib::Response& response) {
  response.set_header(headers::token, token());
  if (leaving_) {
    response.set_header("Connection", "close");
  }
  gateway::call_arrived call;
  if (const auto fault = read_call(request, call)) {
    response.status = status_bad_request;
    write_error(response, outcome::not_run, "", *fault);
    return;
  }
  call.time_left = limit_time_left(call.time_left);
  call.idempotent = call.idempotent || is_idempotent_service(call.service);
  if (call.request.empty() && !call.idempotent && requires_request_id(call.service)) {
    response.status = status_precondition_required;
    write_error(response, outcome::not_run, "",
                "service \"" + call.service.value() +
                    "\" needs a Catkintack-Request-Id made from this Catkintack-Token");
    return;
  }
  const final_response end = worker_.run(call, to_upstream(request));
  count_outcome(end);
  write_answer(response, end, call.request.value());
}

void traffic_server::count_outcome(const final_response& end) {
  metrics_.add(std::string("calls_total{outcome=\"") + to_string(end.result) + "\"}");
  if (end.result == outcome::not_run) {
    metrics_.add("calls_refused_total{status=\"" + std::to_string(end.status) + "\"}");
  }
}

void traffic_server::add_routes(httplib::Server& server) {
  const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
    serve(request, response);
  };
  server.Get(".*", handler);
  server.Post(".*", handler);
  server.Put(".*", handler);
  server.Patch(".*", handler);
  server.Delete(".*", handler);
  server.Options(".*", handler);
  server.set_error_handler([this](const httplib::Request&, httplib::Response& response) {
    if (response.body.empty() && response.get_header_value(headers::outcome).empty()) {
      metrics_.add("bad_requests_total");
      write_error(response, outcome::not_run, "",
                  "the request is malformed, too large or cut short");
    }
  });
}

}  // namespace catkintack::daemon
