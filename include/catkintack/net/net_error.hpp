/// @file
/// Errors of the net layer.
#pragma once

#include <string>

namespace catkintack::net {

/// @brief What went wrong on the network.
enum class net_error_kind {
  unreachable,    ///< No connection was made; nothing was sent.
  broken,         ///< The exchange broke off after something was sent.
  malformed,      ///< Bytes that are no message.
  not_authentic,  ///< The keyed digest does not match.
  refused,        ///< The peer has no answer to the message.
  socket_failed,  ///< A local socket could not be set up.
};

/// @brief An error of the net layer.
struct net_error {
  net_error_kind kind = net_error_kind::broken;
  std::string message;  ///< Names the address concerned.
};

}  // namespace catkintack::net
