/// @file
/// Owner of a socket's file descriptor.
#pragma once

#include <utility>

namespace catkintack::net {

/// @brief File descriptor that is closed on destruction.
class socket_handle {
 public:
  socket_handle() = default;
  explicit socket_handle(int descriptor) : descriptor_(descriptor) {}
  socket_handle(const socket_handle&) = delete;
  socket_handle& operator=(const socket_handle&) = delete;
  socket_handle(socket_handle&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  socket_handle& operator=(socket_handle&& other) noexcept;
  ~socket_handle();

  int descriptor() const { return descriptor_; }
  bool valid() const { return descriptor_ >= 0; }
  /// @brief Shuts down both directions, so that blocked reads return.
  void shut_down() const;

 private:
  int descriptor_ = -1;
};

}  // namespace catkintack::net
