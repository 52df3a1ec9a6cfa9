#include "catkintack/daemon/connection_server.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <cerrno>

#include "catkintack/daemon/connection_stream.hpp"

namespace catkintack::daemon {

connection_server::connection_server(connection_limits limits)
    : limits_(limits), closing_event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

void connection_server::close_connections() {
  closing_ = true;
  ::eventfd_write(closing_event_.descriptor(), 1);
}

bool connection_server::process_and_close_socket(socket_t descriptor) {
  const net::socket_handle owned(descriptor);
  connection_stream stream(descriptor, limits_.transfer_timeout);
  bool close = false;
  while (!close && wait_for_request(descriptor)) {
    const bool last = closing_;
    const bool served = process_request(stream, last, close, nullptr);
    close = close || last || !served || stream.has_unread();
  }
  owned.shut_down();
  return true;
}

/// Waits for a request, the idle time-out or the stop of the server. A request that has arrived is
/// served even when the server is stopping.
bool connection_server::wait_for_request(int descriptor) const {
  pollfd poll_fds[] = {{descriptor, POLLIN, 0}, {closing_event_.descriptor(), POLLIN, 0}};
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(limits_.idle_timeout).count();
  int ready = -1;
  do {
    ready = ::poll(poll_fds, 2, static_cast<int>(milliseconds));
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && poll_fds[0].revents != 0;
}

}  // namespace catkintack::daemon
