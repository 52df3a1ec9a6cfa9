/// @file
/// One connection to an upstream.
#pragma once

#include <memory>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::serving {

/// @brief A connection that carries one exchange at a time.
struct upstream_connection {
  explicit upstream_connection(const asio::any_io_executor& executor) : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;  ///< Bytes read ahead; any left after an answer belong to no call.
  base::upstream_id upstream;
  base::instant idle_since;
  base::duration idle_limit{};  ///< As the upstream announced; 0 if it did not.

  /// @brief Whether the connection can carry another exchange: no bytes or end waiting on it.
  bool reusable();
  /// @brief Closes at once; pending operations end with an error.
  void close();
};

/// @brief Opens a connection.
/// @param executor Where it runs.
/// @param where The upstream's address.
/// @param id The upstream.
/// @param limit Time allowed.
/// @return The connection, or null with the error.
asio::awaitable<std::pair<std::unique_ptr<upstream_connection>, error_code>> connect_upstream(
    asio::any_io_executor executor,
    base::address where,
    base::upstream_id id,
    base::duration limit);

/// @brief Lets the kernel notice a peer that went silent: keep-alive probes each second, and a
/// bound on unacknowledged data.
/// @param descriptor A TCP socket.
void enable_dead_peer_detection(int descriptor);

}  // namespace catkintack::serving
