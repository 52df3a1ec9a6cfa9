/// @file
/// A caller's connection as the HTTP library reads and writes it.
#pragma once

#include <httplib.h>

#include <string>

#include "catkintack/base/units.hpp"

namespace catkintack::daemon {

/// @brief Buffered reads and plain writes on a connection that somebody else owns.
class connection_stream : public httplib::Stream {
 public:
  /// @brief Uses a connection.
  /// @param descriptor The connection.
  /// @param timeout Bound of each wait for the peer.
  connection_stream(int descriptor, base::duration timeout)
      : descriptor_(descriptor), timeout_(timeout) {}

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* into, std::size_t size) override;
  ssize_t write(const char* bytes, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return descriptor_; }

  /// @brief Whether bytes were received that nothing has read.
  /// @return True when more came than the requests read so far.
  bool has_unread() const { return position_ < buffer_.size(); }

 private:
  bool wait(short events) const;

  int descriptor_;
  base::duration timeout_;
  std::string buffer_;
  std::size_t position_ = 0;
};

}  // namespace catkintack::daemon
