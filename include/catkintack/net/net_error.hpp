/// @file
/// Errors of the net layer.
#pragma once

#include <string>

namespace catkintack::net {

/// @brief Kinds of errors.
enum class net_error_kind {
  unreachable,    ///< No connection was established; nothing was sent.
  broken,         ///< The connection failed after bytes were sent.
  malformed,      ///< The message is invalid or too large.
  not_authentic,  ///< The HMAC does not match.
  refused,        ///< The peer rejected the request.
  socket_failed,  ///< A local socket could not be opened.
};

/// @brief Error of the net layer.
struct net_error {
  net_error_kind kind = net_error_kind::broken;
  std::string message;  ///< Names the address, if there is one.
};

}  // namespace catkintack::net
