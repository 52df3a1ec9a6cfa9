/// @file
/// Dispatches the requests of other hosts to a handler for each kind.
#pragma once

#include <map>

#include "catkintack/net/peer_message.hpp"
#include "catkintack/net/peer_server.hpp"

namespace catkintack::daemon {

/// @brief Handlers by kind of request. Must not change after the peer server has started, since
/// handle() reads the handlers without a lock.
class peer_dispatcher {
 public:
  /// @brief Sets the handler of a kind of request.
  /// @param handler Called on connection threads, possibly several at once.
  void set_handler(net::peer_request_kind kind, net::peer_handler handler);

  /// @brief Answers a request with the handler of its kind.
  /// @return The handler's response, or a refusal when the kind has no handler.
  net::peer_response handle(const net::peer_request& request) const;

 private:
  std::map<net::peer_request_kind, net::peer_handler> handlers_;
};

}  // namespace catkintack::daemon
