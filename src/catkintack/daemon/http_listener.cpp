#include "catkintack/daemon/http_listener.hpp"

#include <httplib.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <utility>

#include "catkintack/daemon/connection_server.hpp"
#include "catkintack/daemon/header_masking.hpp"
#include "catkintack/net/headers.hpp"

namespace catkintack::daemon {
namespace {

constexpr int listen_backlog = 1024;  // cpp-httplib's backlog of 5 drops connections in bursts.
constexpr std::size_t requests_per_connection = 1'000'000'000;
constexpr base::duration transfer_timeout = std::chrono::seconds(10);

constexpr int status_bad_request = 400;
constexpr int status_length_required = 411;

/// Whether a request has a body that cpp-httplib does not read because of the method.
bool has_unread_body(const httplib::Request& request) {
  static constexpr const char* methods[] = {"GET", "HEAD", "OPTIONS", "TRACE", "CONNECT"};
  const bool unread =
      std::find(std::begin(methods), std::end(methods), request.method) != std::end(methods);
  const std::string length = request.get_header_value("Content-Length");
  const bool empty = length.empty() || length == "0";
  return unread && (!empty || request.has_header("Transfer-Encoding"));
}

/// Whether the Content-Length of a request can be read in two ways: it is not a number or is given
/// more than once.
bool has_ambiguous_length(const httplib::Request& request) {
  const std::string length = request.get_header_value("Content-Length");
  const bool number = length.find_first_not_of("0123456789") == std::string::npos;
  return !number || request.get_header_value_count("Content-Length") > 1;
}

void refuse(httplib::Response& response, int status, const std::string& message) {
  response.status = status;
  response.set_header(net::headers::outcome, "not_run");
  response.set_content(R"({"error":")" + message + R"(","outcome":"not_run"})" + "\n",
                       "application/json");
}

/// Refuses bodies that cpp-httplib would not read or would not hold to the size limit.
httplib::Server::HandlerResponse check_length(const httplib::Request& request,
                                              httplib::Response& response) {
  if (has_unread_body(request)) {
    refuse(response, status_bad_request, "a " + request.method + " request takes no body");
  } else if (has_ambiguous_length(request)) {
    refuse(response, status_bad_request, "the Content-Length is doubtful");
  } else if (request.has_header("Transfer-Encoding")) {
    // cpp-httplib does not apply the size limit to chunked bodies.
    refuse(response, status_length_required, "a body needs a Content-Length");
  } else {
    return httplib::Server::HandlerResponse::Unhandled;
  }
  return httplib::Server::HandlerResponse::Handled;
}

/// Whether the status of a response is one that may be sent before the request is read completely.
bool may_have_unread_bytes(const httplib::Response& response) {
  static constexpr int statuses[] = {400, 411, 413, 414, 417, 431};
  return std::find(std::begin(statuses), std::end(statuses), response.status) != std::end(statuses);
}

/// Sends the whole response and then closes the connection.
///
/// Otherwise the unread rest of the request would be parsed as the next request on the connection,
/// and the caller, or another caller behind the same load balancer, would take the response to it
/// for its own. cpp-httplib closes a connection only when a content provider fails, so the body is
/// sent by a content provider that reports failure at the end.
void close_after_response(httplib::Response& response) {
  const std::string type = response.get_header_value("Content-Type");
  response.headers.erase("Content-Type");
  response.headers.erase("Keep-Alive");
  response.headers.erase("Connection");
  response.set_header("Connection", "close");
  const std::string body = response.body.empty() ? "\n" : response.body;
  if (response.body.empty()) {
    response.headers.erase("Content-Length");
    response.set_header("Content-Length", std::to_string(body.size()));
  }
  response.body.clear();
  response.set_content_provider(body.size(), type.empty() ? "text/plain" : type,
                                [body](std::size_t, std::size_t, httplib::DataSink& sink) {
                                  sink.write(body.data(), body.size());
                                  return false;
                                });
}

}  // namespace

boost::leaf::result<std::unique_ptr<http_listener>> http_listener::open(
    const http_listener_options& options,
    const std::function<void(httplib::Server&)>& add_routes) {
  auto server = std::make_unique<connection_server>(
      connection_limits{options.idle_timeout, transfer_timeout});
  int listening = -1;
  server->set_socket_options([&listening](socket_t descriptor) {
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listening = descriptor;
  });
  server->set_tcp_nodelay(true);
  // Only sent to clients in a header; connection_server does not limit the number of requests.
  server->set_keep_alive_max_count(requests_per_connection);
  server->set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(options.idle_timeout).count());
  server->set_payload_max_length(options.max_body_bytes);
  const std::size_t threads = options.max_connections;
  server->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  server->set_pre_routing_handler([](const httplib::Request& request, httplib::Response& response) {
    const auto handled = check_length(request, response);
    if (handled == httplib::Server::HandlerResponse::Unhandled) {
      mask_headers(request);
    }
    return handled;
  });
  server->set_post_routing_handler([](const httplib::Request&, httplib::Response& response) {
    if (may_have_unread_bytes(response)) {
      close_after_response(response);
    }
  });
  add_routes(*server);
  if (!server->bind_to_port(options.where.ip, options.where.port)) {
    return boost::leaf::new_error(
        daemon_error{"cannot listen on " + base::to_string(options.where)});
  }
  ::listen(listening, listen_backlog);
  return std::unique_ptr<http_listener>(new http_listener(std::move(server)));
}

http_listener::http_listener(std::unique_ptr<connection_server> server)
    : server_(std::move(server)), thread_([this] { server_->listen_after_bind(); }) {
  while (!server_->is_running()) {
    std::this_thread::yield();
  }
}

http_listener::~http_listener() {
  server_->close_connections();
  server_->stop();
  thread_.join();
}

}  // namespace catkintack::daemon
