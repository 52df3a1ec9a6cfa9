/// @file
/// Routes the requests of other hosts to the part that answers each kind.
#pragma once

#include <map>

#include "catkintack/net/peer_message.hpp"
#include "catkintack/net/peer_server.hpp"

namespace catkintack::daemon {

/// @brief A table of handlers by kind. Filled before the peer server starts, read-only afterwards.
class peer_dispatch {
 public:
  /// @brief Sets the handler of a kind.
  /// @param kind The kind.
  /// @param handler Answers requests of that kind; called from connection threads.
  void on(net::peer_request_kind kind, net::peer_handler handler);

  /// @brief Answers a request.
  /// @param request The request.
  /// @return The handler's response; a refusal when the kind has no handler.
  net::peer_response handle(const net::peer_request& request) const;

 private:
  std::map<net::peer_request_kind, net::peer_handler> handlers_;
};

}  // namespace catkintack::daemon
