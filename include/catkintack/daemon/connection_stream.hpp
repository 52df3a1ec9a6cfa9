/// @file
/// Adapter between a connected socket and the stream interface of cpp-httplib.
#pragma once

#include <httplib.h>

#include <string>

#include "catkintack/base/units.hpp"

namespace catkintack::daemon {

/// @brief Buffered reads and unbuffered writes on a socket that it does not own.
class connection_stream : public httplib::Stream {
 public:
  /// @param descriptor A connected socket; must outlive the stream.
  /// @param timeout Limit of each wait for the socket.
  connection_stream(int descriptor, base::duration timeout)
      : descriptor_(descriptor), timeout_(timeout) {}

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* destination, std::size_t size) override;
  ssize_t write(const char* bytes, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return descriptor_; }

  /// @brief Whether received bytes are buffered that no request has consumed.
  bool has_unread() const { return position_ < buffer_.size(); }

 private:
  bool wait(short events) const;

  int descriptor_;
  base::duration timeout_;
  std::string buffer_;
  std::size_t position_ = 0;
};

}  // namespace catkintack::daemon
