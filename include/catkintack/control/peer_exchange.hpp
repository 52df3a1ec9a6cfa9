/// @file
/// Hosts ask each other for what they know, over TCP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/control/knowledge_snapshot.hpp"
#include "catkintack/serving/io.hpp"
#include "catkintack/serving/listener.hpp"

namespace catkintack::control {

/// @brief Answers queries of other hosts.
///
/// Each message is its length in four bytes, most significant first, and a cereal archive.
class peer_server {
 public:
  /// Gives the knowledge to hand out.
  using source = std::function<knowledge_snapshot()>;

  /// @param io Runs it.
  /// @param knowledge What is handed out.
  /// @param on_error Hears of connections that could not be accepted.
  peer_server(boost::asio::io_context& io,
              source knowledge,
              serving::listener::error_hook on_error);

  /// @brief Begins to listen.
  /// @return The error if the address cannot be used.
  boost::system::error_code listen(const base::address& where);

 private:
  boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream);

  boost::asio::io_context& io_;
  source knowledge_;
  serving::listener::error_hook on_error_;
  serving::listener listener_;
};

/// @brief Asks one host.
/// @param where Its address for peers.
/// @param query What is wanted.
/// @param limit Time allowed.
/// @return Its knowledge; nothing if it has nothing newer, does not answer, or answers nonsense.
boost::asio::awaitable<std::optional<knowledge_snapshot>> ask_peer(
    boost::asio::any_io_executor executor,
    base::address where,
    knowledge_query query,
    base::duration limit);

}  // namespace catkintack::control
