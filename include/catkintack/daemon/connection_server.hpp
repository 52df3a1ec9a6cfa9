/// @file
/// cpp-httplib server that closes its idle connections when it stops.
#pragma once

#include <httplib.h>

#include <atomic>

#include "catkintack/base/units.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::daemon {

/// @brief Time limits of a connection.
struct connection_limits {
  base::duration idle_timeout = std::chrono::seconds(30);  ///< Between two requests.
  base::duration transfer_timeout =
      std::chrono::seconds(10);  ///< Each read or write within a request.
};

/// @brief Server that closes idle connections on stop, after serving requests that have arrived.
///
/// On stop, the connection loop of cpp-httplib waits for the idle time-out of every connection. It
/// also drops bytes that were received after a request, so that the bytes that follow would be
/// parsed as the next request.
class connection_server : public httplib::Server {
 public:
  explicit connection_server(connection_limits limits);

  /// @brief Closes each connection after its current request; call before stop().
  void close_connections();

 private:
  bool process_and_close_socket(socket_t descriptor) override;
  bool wait_for_request(int descriptor) const;

  connection_limits limits_;
  net::socket_handle closing_event_;
  std::atomic<bool> closing_ = false;
};

}  // namespace catkintack::daemon
