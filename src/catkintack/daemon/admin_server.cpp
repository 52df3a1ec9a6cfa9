#include "catkintack/daemon/admin_server.hpp"

#include <httplib.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "catkintack/daemon/event_json.hpp"

namespace catkintack::daemon {
namespace {

constexpr int status_unavailable = 503;
constexpr std::uint32_t max_admin_connections = 8;

std::uint64_t read_number(const httplib::Request& request, const char* name) {
  const std::string text = request.get_param_value(name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Returns the sequence number in the field `since`, or 0 when it belongs to another incarnation,
/// whose numbers do not apply to the events of this one.
std::uint64_t read_since(const httplib::Request& request, base::incarnation run) {
  const bool same_incarnation = !request.has_param("incarnation") ||
                                base::incarnation(read_number(request, "incarnation")) == run;
  return same_incarnation ? read_number(request, "since") : 0;
}

std::string events_json(const base::event_log& events, std::uint64_t since) {
  nlohmann::json list = nlohmann::json::array();
  for (const base::event_record& record : events.since(since)) {
    list.push_back(to_json(record));
  }
  return list.dump();
}

}  // namespace

boost::leaf::result<std::unique_ptr<http_listener>> open_admin_server(const base::address& where,
                                                                      admin_sources sources) {
  http_listener_options options;
  options.where = where;
  options.max_connections = max_admin_connections;
  options.idle_timeout = std::chrono::seconds(1);
  const auto shared_sources = std::make_shared<const admin_sources>(std::move(sources));
  return http_listener::open(options, [shared_sources](httplib::Server& server) {
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
      response.set_content("alive\n", "text/plain");
    });
    server.Get("/readyz", [shared_sources](const httplib::Request&, httplib::Response& response) {
      const bool ready = shared_sources->status().ready;
      response.status = ready ? response.status : status_unavailable;
      response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/status", [shared_sources](const httplib::Request&, httplib::Response& response) {
      response.set_content(
          to_json(shared_sources->status(), shared_sources->host, shared_sources->run),
          "application/json");
    });
    server.Get("/lists/(plans|allowances)",
               [shared_sources](const httplib::Request& request, httplib::Response& response) {
                 const std::string name = request.matches[1];
                 for (const config::shared_body& body : shared_sources->status().bodies) {
                   if (body && name == to_string(body->kind)) {
                     response.set_content(body->text, "application/json");
                   }
                 }
               });
    server.Get("/metrics", [shared_sources](const httplib::Request&, httplib::Response& response) {
      response.set_content(shared_sources->metrics->prometheus_text(), "text/plain");
    });
    server.Get(
        "/events", [shared_sources](const httplib::Request& request, httplib::Response& response) {
          const std::uint64_t since = read_since(request, shared_sources->run);
          response.set_content(events_json(*shared_sources->events, since), "application/json");
        });
  });
}

}  // namespace catkintack::daemon
