/// @file
/// A request from a caller while it is being served.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/routes/route_table.hpp"
#include "catkintack/serving/io.hpp"
#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::serving {

/// @brief A request together with its route, its deadline and the state of its caller.
struct call {
  /// Reads the next part of a streamed body; an empty part marks the end.
  using body_reader = std::function<asio::awaitable<std::pair<std::string, error_code>>()>;

  std::string id;  ///< Request id chosen by the caller; empty if none was sent.
  base::request_fingerprint fingerprint;  ///< Set once the body, or its first part, was read.
  std::string method;
  std::string target;
  http::fields headers;
  std::string body;            ///< The body as far as it was received and kept.
  body_reader read_more_body;  ///< Set while more of the body follows.
  bool body_consumed = false;  ///< Parts of the body were sent and not kept.
  /// Reserves memory to keep a further part of the body, in bytes; unset: no memory is left.
  std::function<bool(std::size_t)> reserve_body;
  bool has_body = false;                     ///< True for an announced body, even an empty one.
  std::optional<std::uint64_t> body_length;  ///< Not set with chunked encoding.

  std::shared_ptr<const routes::route_table> table;  ///< Owns `route`.
  const routes::route* route = nullptr;
  base::instant arrived;
  base::instant deadline;  ///< The earlier of the caller's deadline and the route's timeout.
  /// Time since the caller's first attempt, estimated from its deadline header; 0 if unknown.
  base::duration elapsed_before_arrival{};

  base::customer_id customer;  ///< Empty if the configuration has no customers.
  /// The rules for customers apply: `headers` has neither the caller's key nor a customer's name,
  /// and the customer's name is sent instead.
  bool has_customer_rules = false;
  /// Regions whose upstreams may serve the call, by its route and its customer; empty: all.
  std::vector<base::region_id> allowed_regions;
  bool allowed_nowhere = false;  ///< No region is allowed by both the route and the customer.

  /// Value of relay_regions_header while the call is being sent to another host; otherwise empty.
  std::string relay_regions;

  bool relayed = false;  ///< Another host sent the call here on behalf of its caller.
  bool caller_left = false;
  bool response_started = false;  ///< The upstream of the current attempt has begun to answer.
  /// Connections on which an upstream is processing the call.
  std::set<upstream_connection*> active_connections;

  /// Upstreams whose attempt this host ended before they answered, separated by commas; for the
  /// log.
  std::string given_up;

  /// @brief Whether the body can still be sent from its beginning.
  bool can_be_sent() const { return !body_consumed; }
  /// @brief Keeps a part of the body that is being sent, so that it can be sent again, or nothing
  /// of the body if memory is short.
  void keep_body(const std::string& part) {
    if (reserve_body && reserve_body(part.size())) {
      body += part;
    } else if (!part.empty()) {
      body_consumed = true;
      std::string().swap(body);
      reserve_body = nullptr;
    }
  }
  /// @brief Whether the call may be executed more than once.
  bool repeatable() const { return route->delivery == routes::delivery_kind::repeatable; }
  /// @brief Closes the connection of an attempt whose upstream may be at work.
  void give_up(upstream_connection& attempt) {
    given_up += (given_up.empty() ? "" : ",") + attempt.upstream.value();
    attempt.close();
  }
  /// @brief Records that the caller has disconnected. Aborts upstream requests in progress only if
  /// the call is repeatable, as aborting is then harmless.
  void on_caller_left() {
    caller_left = true;
    if (repeatable()) {
      for (upstream_connection* const one : active_connections) {
        one->close();
      }
    }
  }
};

}  // namespace catkintack::serving
