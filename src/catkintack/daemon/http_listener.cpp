#include "catkintack/daemon/http_listener.hpp"

#include <httplib.h>
#include <sys/socket.h>

#include <utility>

namespace catkintack::daemon {
namespace {

constexpr int listen_backlog = 1024;  // The library's own backlog of 5 drops bursts.
constexpr std::size_t requests_per_connection = 1'000'000'000;
constexpr time_t read_limit_seconds = 10;

}  // namespace

boost::leaf::result<std::unique_ptr<http_listener>> http_listener::open(
    const http_listener_options& options,
    const std::function<void(httplib::Server&)>& add_routes) {
  auto server = std::make_unique<httplib::Server>();
  int listening = -1;
  server->set_socket_options([&listening](socket_t descriptor) {
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listening = descriptor;
  });
  server->set_tcp_nodelay(true);
  server->set_keep_alive_max_count(requests_per_connection);
  server->set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(options.idle_limit).count());
  server->set_read_timeout(read_limit_seconds);
  server->set_payload_max_length(options.max_body_bytes);
  const std::size_t threads = options.max_connections;
  server->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  add_routes(*server);
  if (!server->bind_to_port(options.where.ip, options.where.port)) {
    return boost::leaf::new_error(
        daemon_error{"cannot listen on " + base::to_string(options.where)});
  }
  ::listen(listening, listen_backlog);
  return std::unique_ptr<http_listener>(new http_listener(std::move(server)));
}

http_listener::http_listener(std::unique_ptr<httplib::Server> server)
    : server_(std::move(server)), thread_([this] { server_->listen_after_bind(); }) {
  while (!server_->is_running()) {
    std::this_thread::yield();
  }
}

http_listener::~http_listener() {
  server_->stop();
  thread_.join();
}

}  // namespace catkintack::daemon
