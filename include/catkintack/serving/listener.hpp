/// @file
/// A listening TCP socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::serving {

/// @brief Accepts connections and hands them on.
class listener {
 public:
  /// Takes an accepted connection.
  using connection_hook = std::function<void(asio::ip::tcp::socket)>;
  /// Hears why a connection could not be accepted; accepting goes on after a pause.
  using error_hook = std::function<void(const error_code&)>;

  explicit listener(asio::io_context& io) : io_(io), acceptor_(io) {}

  /// @brief Begins to listen.
  /// @param where The address.
  /// @param on_connection Called for each connection.
  /// @param on_error Called for each failure.
  /// @return The error if the address cannot be used.
  error_code listen(const base::address& where, connection_hook on_connection, error_hook on_error);

  /// @brief Refuses further connections; accepted ones go on.
  void close();

 private:
  asio::awaitable<void> accept_all(connection_hook on_connection, error_hook on_error);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace catkintack::serving
