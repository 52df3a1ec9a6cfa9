#include "catkintack/daemon/traffic_server.hpp"

#include <httplib.h>
#include <strings.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "catkintack/config/key_hash.hpp"
#include "catkintack/daemon/raw_body.hpp"
#include "catkintack/net/headers.hpp"

namespace catkintack::daemon {
namespace {

namespace headers = net::headers;
using delivery::final_answer;
using delivery::outcome;

constexpr int status_bad_request = 400;
constexpr int status_precondition_required = 428;
constexpr int status_unavailable = 503;
constexpr std::size_t max_request_id_length = 128;
constexpr std::uint64_t max_time_left_ms = 300'000;

/// The service named by a request's target, and the target that the upstream sees.
struct route {
  base::service_id service;
  std::string target;
};

route split_target(const std::string& target) {
  const auto end = target.find_first_of("/?", 1);
  if (end == std::string::npos) {
    return {base::service_id(target.substr(1)), "/"};
  }
  const std::string rest = target.substr(end);
  return {base::service_id(target.substr(1, end - 1)), rest[0] == '/' ? rest : "/" + rest};
}

bool is_hop_by_hop(const std::string& name) {
  static constexpr const char* names[] = {
      "connection", "keep-alive",  "transfer-encoding", "content-length", "host",
      "upgrade",    "remote_addr", "remote_port",       "local_addr",     "local_port",
      "te",         "trailer",     "proxy-connection",  "expect"};
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return std::find(std::begin(names), std::end(names), lower) != std::end(names);
}

/// Whether this host replaces or drops a header of the caller.
bool is_rewritten(const std::string& name) {
  static constexpr const char* names[] = {headers::api_key, headers::time_left, headers::depth,
                                          headers::retries_left};
  return std::any_of(std::begin(names), std::end(names),
                     [&name](const char* one) { return strcasecmp(name.c_str(), one) == 0; });
}

net::upstream_request to_upstream(const httplib::Request& request, const std::string& target) {
  net::upstream_request converted;
  converted.method = request.method;
  converted.target = target;
  converted.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!is_hop_by_hop(name) && !is_rewritten(name)) {
      converted.headers.emplace_back(shown_name(name), value);
    }
  }
  return converted;
}

bool is_safe_method(const std::string& method) {
  static constexpr const char* methods[] = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  return std::find(std::begin(methods), std::end(methods), method) != std::end(methods);
}

/// Hash of what a repeat must have in common with the first arrival.
std::uint64_t fingerprint_of(const httplib::Request& request) {
  const std::string head = request.method + " " + request.target + "\n";
  return XXH3_64bits_withSeed(request.body.data(), request.body.size(),
                              XXH3_64bits(head.data(), head.size()));
}

std::string seconds_text(base::duration span) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(span).count());
}

void write_error(httplib::Response& response,
                 outcome result,
                 const std::string& request,
                 const std::string& message) {
  nlohmann::json body = {{"outcome", to_string(result)}, {"error", message}};
  if (!request.empty()) {
    body["request"] = request;
  }
  response.set_header(headers::outcome, to_string(result));
  response.set_content(body.dump() + "\n", "application/json");
}

bool is_content_type(const std::string& name) {
  return ::strcasecmp(name.c_str(), "Content-Type") == 0;
}

/// The library decodes percent signs in header values, so a value may hold the end of a line.
bool has_line_ends(const httplib::Request& request) {
  return std::any_of(request.headers.begin(), request.headers.end(), [](const auto& header) {
    return header.second.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
  });
}

void write_answer(httplib::Response& response, const final_answer& end, const std::string& id) {
  response.status = end.status;
  if (end.retry_after) {
    response.set_header(headers::retry_after, seconds_text(*end.retry_after));
  }
  if (end.result != outcome::answer) {
    write_error(response, end.result, id, end.message);
    if (end.result == outcome::not_run && end.status == status_unavailable) {
      response.set_header(headers::shed, "1");
    }
    return;
  }
  response.set_header(headers::outcome, to_string(end.result));
  std::string type;
  for (const auto& [name, value] : end.upstream_answer->headers) {
    if (is_content_type(name)) {
      type = value;
    } else {
      response.set_header(name, value);
    }
  }
  response.set_content(end.upstream_answer->body, type);
}

/// Reads the time left; false when the header is malformed.
bool read_time_left(const httplib::Request& request, gateway::call_arrived& event) {
  if (!request.has_header(headers::time_left)) {
    return true;
  }
  const std::string text = request.get_header_value(headers::time_left);
  std::uint64_t milliseconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc{} || rest != end || milliseconds == 0 || milliseconds > max_time_left_ms) {
    return false;
  }
  event.time_left = std::chrono::milliseconds(milliseconds);
  return true;
}

/// Reads a count; false when the header is malformed.
bool read_count(const httplib::Request& request,
                const char* name,
                std::optional<std::uint32_t>& count) {
  if (!request.has_header(name)) {
    return true;
  }
  const std::string text = request.get_header_value(name);
  std::uint32_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  count = value;
  return error == std::errc{} && rest == end;
}

/// Reads what the level above says of the call; false when a header is malformed.
bool read_chain(const httplib::Request& request, gateway::call_arrived& event) {
  std::optional<std::uint32_t> depth;
  const bool well_formed = read_count(request, headers::depth, depth) &&
                           read_count(request, headers::retries_left, event.retries_left);
  event.depth = depth.value_or(0);
  return well_formed;
}

bool is_request_id(const std::string& text) {
  static constexpr const char* allowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return text.size() <= max_request_id_length &&
         text.find_first_not_of(allowed) == std::string::npos;
}

}  // namespace

boost::leaf::result<std::unique_ptr<traffic_server>> traffic_server::open(
    const settings& settings,
    delivery::home self,
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
                               delivery::home self,
                               call_worker& worker,
                               base::metric_registry& metrics)
    : settings_(settings), self_(std::move(self)), worker_(worker), metrics_(metrics) {}

std::string traffic_server::token() const {
  return delivery::make_token(self_, worker_.newest_epoch());
}

bool traffic_server::requires_id(const base::service_id& service) const {
  const auto configured = settings_.services.find(service);
  return configured == settings_.services.end() || configured->second.require_request_id;
}

std::optional<base::duration> traffic_server::bounded_time_left(
    std::optional<base::duration> asked) const {
  return asked ? std::min(*asked, settings_.stop_limit) : asked;
}

void traffic_server::add_routes(httplib::Server& server) {
  const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
    response.set_header(headers::token, token());
    if (leaving_) {
      response.set_header("Connection", "close");
    }
    const route where = split_target(request.target);
    const std::string id = request.get_header_value(headers::request_id);
    gateway::call_arrived event;
    if (has_line_ends(request) || !is_request_id(id) || !read_time_left(request, event) ||
        !read_chain(request, event)) {
      response.status = status_bad_request;
      write_error(response, outcome::not_run, "",
                  "a header is malformed: one with a line end, or "
                  "Catkintack-Request-Id, -Time-Left-Ms, -Depth or -Retries-Left");
      return;
    }
    const std::string key = request.get_header_value(headers::api_key);
    const auto configured = settings_.services.find(where.service);
    event.request = base::request_id(id);
    event.fingerprint = fingerprint_of(request);
    event.time_left = bounded_time_left(event.time_left);
    event.key_hash = key.empty() ? "" : config::hash_key(key);
    event.service = where.service;
    event.idempotent = is_safe_method(request.method) ||
                       (configured != settings_.services.end() && configured->second.idempotent);
    if (id.empty() && !event.idempotent && requires_id(where.service)) {
      response.status = status_precondition_required;
      write_error(response, outcome::not_run, "",
                  "service \"" + where.service.value() +
                      "\" needs a Catkintack-Request-Id made from this Catkintack-Token");
      return;
    }
    const final_answer end = worker_.run(event, to_upstream(request, where.target));
    metrics_.add(std::string("calls_total{outcome=\"") + to_string(end.result) + "\"}");
    if (end.result == outcome::not_run) {
      metrics_.add("calls_refused_total{status=\"" + std::to_string(end.status) + "\"}");
    }
    write_answer(response, end, id);
  };
  server.Get(".*", serve);
  server.Post(".*", serve);
  server.Put(".*", serve);
  server.Patch(".*", serve);
  server.Delete(".*", serve);
  server.Options(".*", serve);
  server.set_error_handler([this](const httplib::Request&, httplib::Response& response) {
    if (response.body.empty() && response.get_header_value(headers::outcome).empty()) {
      metrics_.add("bad_requests_total");
      write_error(response, outcome::not_run, "",
                  "the request is malformed, too large or cut short");
    }
  });
}

}  // namespace catkintack::daemon
