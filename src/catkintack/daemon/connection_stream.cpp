#include "catkintack/daemon/connection_stream.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace catkintack::daemon {
namespace {

constexpr std::size_t read_buffer_bytes = 16U << 10U;

using endpoint_function = int (*)(int descriptor, sockaddr* address, socklen_t* size);

/// Reads the address of one endpoint of a connection; leaves the outputs unchanged on failure.
void read_endpoint(int descriptor, endpoint_function get_endpoint, std::string& ip, int& port) {
  sockaddr_in endpoint{};
  socklen_t size = sizeof(endpoint);
  char text[INET_ADDRSTRLEN] = {};
  if (get_endpoint(descriptor, reinterpret_cast<sockaddr*>(&endpoint), &size) == 0 &&
      ::inet_ntop(AF_INET, &endpoint.sin_addr, text, sizeof(text)) != nullptr) {
    ip = text;
    port = ntohs(endpoint.sin_port);
  }
}

}  // namespace

bool connection_stream::wait(short events) const {
  pollfd poll_fd{descriptor_, events, 0};
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout_).count();
  int ready = -1;
  do {
    ready = ::poll(&poll_fd, 1, static_cast<int>(milliseconds));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

bool connection_stream::is_readable() const { return has_unread() || wait(POLLIN); }

bool connection_stream::is_writable() const { return wait(POLLOUT); }

ssize_t connection_stream::read(char* destination, std::size_t size) {
  if (!has_unread()) {
    if (!wait(POLLIN)) {
      return -1;
    }
    buffer_.resize(read_buffer_bytes);
    const ssize_t count = ::recv(descriptor_, buffer_.data(), buffer_.size(), 0);
    buffer_.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    position_ = 0;
    if (count <= 0) {
      return count;
    }
  }
  const std::size_t taken = std::min(size, buffer_.size() - position_);
  std::memcpy(destination, buffer_.data() + position_, taken);
  position_ += taken;
  return static_cast<ssize_t>(taken);
}

ssize_t connection_stream::write(const char* bytes, std::size_t size) {
  return is_writable() ? ::send(descriptor_, bytes, size, MSG_NOSIGNAL) : -1;
}

void connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
  read_endpoint(descriptor_, &::getpeername, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string& ip, int& port) const {
  read_endpoint(descriptor_, &::getsockname, ip, port);
}

}  // namespace catkintack::daemon
