/// @file
/// One caller's request while it is served.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/routes/route_table.hpp"
#include "catkintack/serving/io.hpp"
#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::serving {

/// @brief A request and what is known of its caller.
struct call {
  /// Reads the next piece of a body that is not held whole; an empty piece ends it.
  using body_reader = std::function<asio::awaitable<std::pair<std::string, error_code>>()>;

  std::string id;  ///< The caller's id of this attempt; empty if it gave none.
  std::string method;
  std::string target;
  http::fields headers;
  std::string body;                          ///< The whole body, or its beginning.
  body_reader more_body;                     ///< Set when the body is longer than what is held.
  bool has_body = false;                     ///< Whether a body was announced, even an empty one.
  std::optional<std::uint64_t> body_length;  ///< Nothing for chunked coding.

  std::shared_ptr<const routes::route_table> table;  ///< Keeps the route alive.
  const routes::route* route = nullptr;
  base::instant arrived;
  base::instant deadline;         ///< When the caller or the route's timeout gives up.
  base::duration caller_spent{};  ///< Since the caller's first attempt, as far as can be told.

  bool caller_left = false;
  std::set<upstream_connection*> working;  ///< Connections on which an upstream works on it.

  /// @brief Whether it may run more than once.
  bool repeatable() const { return route->delivery == routes::delivery_kind::repeatable; }
  /// @brief Notes that the caller is gone, and stops upstreams at work if that does no harm.
  void on_caller_left() {
    caller_left = true;
    if (repeatable()) {
      for (upstream_connection* const one : working) {
        one->close();
      }
    }
  }
};

}  // namespace catkintack::serving
