/// @file
/// A connection to an upstream.
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

  /// Limits what is read ahead of the parser, such as an endless chunk extension.
  static constexpr std::size_t max_read_ahead = 64U << 10U;

  beast::tcp_stream stream;
  beast::flat_buffer buffer{
      max_read_ahead};  ///< Read-ahead; bytes left after a response belong to no call.
  base::upstream_id upstream;
  base::instant idle_since;
  base::duration idle_timeout{};  ///< From the upstream's Keep-Alive header; 0 if absent.

  /// @brief Whether the connection can carry another exchange: it is open, and neither unread bytes
  /// nor an end of stream are pending.
  bool reusable();
  /// @brief Closes the connection immediately; pending operations complete with an error.
  void close();
};

/// @brief Opens a connection to an upstream.
/// @param limit Time limit for establishing the connection.
/// @return The connection, or null with the error.
asio::awaitable<std::pair<std::unique_ptr<upstream_connection>, error_code>> connect_upstream(
    asio::any_io_executor executor,
    base::address where,
    base::upstream_id id,
    base::duration limit);

/// @brief Makes the kernel detect an unresponsive peer: enables TCP keep-alive probes every second
/// and limits the time that data may stay unacknowledged.
/// @param descriptor A TCP socket.
void enable_dead_peer_detection(int descriptor);

}  // namespace catkintack::serving
