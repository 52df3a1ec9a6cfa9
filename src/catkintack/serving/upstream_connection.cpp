#include "catkintack/serving/upstream_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace catkintack::serving {

bool upstream_connection::reusable() {
  if (buffer.size() > 0 || !stream.socket().is_open()) {
    return false;
  }
  char byte = 0;
  const ssize_t read = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void upstream_connection::close() {
  error_code ignored;  // The socket is released even if close reports an error.
  stream.socket().close(ignored);
}

void enable_dead_peer_detection(int descriptor) {
  // With TCP_USER_TIMEOUT set, Linux gives up at the first probe after that time without an answer,
  // whatever the number of probes: within about 3 s.
  constexpr int on = 1;
  constexpr int idle_seconds = 1;
  constexpr int interval_seconds = 1;
  constexpr int probes = 2;
  constexpr unsigned unacknowledged_ms = 2500;
  (void)::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds,
                     sizeof(interval_seconds));
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
                     sizeof(unacknowledged_ms));
}

asio::awaitable<std::pair<std::unique_ptr<upstream_connection>, error_code>> connect_upstream(
    asio::any_io_executor executor,
    base::address where,
    base::upstream_id id,
    base::duration limit) {
  auto connection = std::make_unique<upstream_connection>(executor);
  connection->upstream = std::move(id);
  error_code error;
  const auto ip = asio::ip::make_address(where.ip, error);
  if (error) {
    co_return std::pair{std::unique_ptr<upstream_connection>(), error};
  }
  connection->stream.expires_after(limit);
  auto [failed] =
      co_await connection->stream.async_connect(asio::ip::tcp::endpoint(ip, where.port), no_throw);
  if (failed) {
    co_return std::pair{std::unique_ptr<upstream_connection>(), failed};
  }
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  enable_dead_peer_detection(connection->stream.socket().native_handle());
  co_return std::pair{std::move(connection), error_code{}};
}

}  // namespace catkintack::serving
