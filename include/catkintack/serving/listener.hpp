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

/// @brief Accepts connections and passes them to a handler.
class listener {
 public:
  /// Receives an accepted connection.
  using connection_handler = std::function<void(asio::ip::tcp::socket)>;
  /// Receives the error of a failed accept; accepting continues after a pause.
  using error_handler = std::function<void(const error_code&)>;

  explicit listener(asio::io_context& io) : io_(io), acceptor_(io) {}

  /// @brief Starts listening.
  /// @return The error if the address cannot be used.
  error_code listen(const base::address& where,
                    connection_handler on_connection,
                    error_handler on_error);

  /// @brief Stops accepting. Connections that wait to be accepted are still passed to the handler.
  void close();

 private:
  asio::awaitable<void> accept_loop(error_handler on_error);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  connection_handler on_connection_;
};

}  // namespace catkintack::serving
