/// @file
/// The HTTP library's server with connections that end when it stops.
#pragma once

#include <httplib.h>

#include <atomic>

#include "catkintack/base/units.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::daemon {

/// @brief Limits of a connection.
struct connection_limits {
  base::duration idle = std::chrono::seconds(30);      ///< Between requests.
  base::duration transfer = std::chrono::seconds(10);  ///< Each wait within a request.
};

/// @brief A server that closes idle connections on stop and serves what has arrived on them.
///
/// The library's own loop waits out the idle limit of every connection when it stops, and drops
/// bytes that were received behind a request, which would let them pass for the next one.
class connection_server : public httplib::Server {
 public:
  explicit connection_server(connection_limits limits);

  /// @brief Ends connections after the request that they carry; call before stop().
  void close_connections();

 private:
  bool process_and_close_socket(socket_t descriptor) override;
  bool wait_for_request(int descriptor) const;

  connection_limits limits_;
  net::socket_handle closing_event_;
  std::atomic<bool> closing_ = false;
};

}  // namespace catkintack::daemon
