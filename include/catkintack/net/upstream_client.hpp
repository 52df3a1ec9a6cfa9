/// @file
/// Exchanges with upstreams over pooled connections.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/hooks.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/delivery/answer.hpp"
#include "catkintack/routing/attempt_result.hpp"
#include "catkintack/routing/load_report.hpp"

namespace catkintack::net {

/// @brief A request as it is sent to an upstream.
struct upstream_request {
  std::string method;
  std::string target;  ///< Path and query, as the caller wrote them, without the service.
  std::vector<std::pair<std::string, std::string>> headers;  ///< End-to-end headers only.
  std::string body;
};

/// @brief The end of an exchange.
struct exchange_result {
  routing::attempt_result result = routing::attempt_result::broken;
  delivery::shared_answer answer;  ///< Set when the result is answered; always whole.
  std::optional<routing::load_report> load;
  std::optional<base::duration> retry_after;  ///< The upstream's word on when to come back.
  bool shed = false;                          ///< The refusal came from load.
};

/// @brief Which exchange is meant when one is cancelled.
struct exchange_key {
  base::call_id call;
  base::attempt_number attempt;
  auto operator<=>(const exchange_key&) const = default;
};

/// @brief Bounds of the connections.
struct upstream_client_options {
  base::duration connect_timeout = std::chrono::milliseconds(250);
  std::size_t max_idle_connections = 64;        ///< Per upstream.
  std::uint64_t max_answer_bytes = 64U << 20U;  ///< Of a body; a larger answer counts as broken.
};

/// @brief Bounds of one exchange, and what it adds to the request.
struct exchange_options {
  base::instant deadline{};  ///< Nothing is sent, and nothing is waited for, past this.
  base::duration silence = std::chrono::seconds(1);               ///< See exchange().
  std::vector<std::pair<std::string, std::string>> headers = {};  ///< Sent with the request's own.
};

/// @brief Sends requests to upstreams. Safe for use by several threads.
class upstream_client {
 public:
  upstream_client(upstream_client_options options, base::clock_hook clock);
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;
  upstream_client(upstream_client&&) = delete;
  upstream_client& operator=(upstream_client&&) = delete;
  ~upstream_client();

  /// @brief Sends a request and waits for the whole answer.
  /// @param key Names the exchange for cancel().
  /// @param address The upstream's address.
  /// @param request The request.
  /// @param options Options of the exchange. When a connection that was used before gives no byte
  /// within options.silence, it may have gone silent for good, and others of its age with it: all
  /// connections to the upstream opened so far take no further exchange.
  /// @return How it ended. A connection whose exchange did not end whole is closed.
  exchange_result exchange(const exchange_key& key,
                           const base::address& address,
                           const upstream_request& request,
                           const exchange_options& options);

  /// @brief Breaks an exchange in flight; does nothing when it has ended.
  /// @param key The exchange.
  void cancel(const exchange_key& key);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace catkintack::net
