#include "catkintack/net/socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

namespace catkintack::net {

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

socket_handle::~socket_handle() {
  if (valid()) {
    ::close(descriptor_);
  }
}

void socket_handle::shut_down() const {
  if (valid()) {
    ::shutdown(descriptor_, SHUT_RDWR);
  }
}

}  // namespace catkintack::net
