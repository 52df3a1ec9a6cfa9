#include "catkintack/serving/listener.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace catkintack::serving {
namespace {

// Maximum number of connections waiting to be accepted, for bursts.
constexpr int backlog = 1024;
// Interval between accept attempts after an error, such as running out of file descriptors.
constexpr base::duration accept_pause = std::chrono::milliseconds(20);

}  // namespace

error_code listener::listen(const base::address& where,
                            connection_handler on_connection,
                            error_handler on_error) {
  error_code error;
  const auto ip = asio::ip::make_address(where.ip, error);
  if (error) {
    return error;
  }
  const asio::ip::tcp::endpoint local(ip, where.port);
  (void)acceptor_.open(local.protocol(), error);
  if (!error) {
    (void)acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    (void)acceptor_.bind(local, error);
  }
  if (!error) {
    (void)acceptor_.listen(backlog, error);
  }
  if (!error) {
    on_connection_ = std::move(on_connection);
    asio::co_spawn(io_, accept_loop(std::move(on_error)), asio::detached);
  }
  return error;
}

void listener::close() {
  // The kernel would reset the connections that it has accepted and this process has not.
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error && on_connection_) {
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) {
      on_connection_(std::move(socket));
    }
  }
  error_code ignored;  // The socket is released even if close reports an error.
  acceptor_.close(ignored);
}

asio::awaitable<void> listener::accept_loop(error_handler on_error) {
  asio::steady_timer pause(io_);
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(no_throw);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      on_error(error);
      pause.expires_after(accept_pause);
      co_await pause.async_wait(no_throw);
      continue;
    }
    on_connection_(std::move(socket));
  }
}

}  // namespace catkintack::serving
