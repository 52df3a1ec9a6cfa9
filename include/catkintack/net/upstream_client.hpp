/// @file
/// HTTP client for upstreams with a connection pool.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/hooks.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/delivery/upstream_response.hpp"
#include "catkintack/routing/attempt_result.hpp"
#include "catkintack/routing/load_report.hpp"

namespace catkintack::net {

/// @brief Request to an upstream.
struct upstream_request {
  std::string method;
  std::string target;  ///< Path and query as sent by the caller, without the service.
  std::vector<std::pair<std::string, std::string>> headers;  ///< End-to-end headers only.
  std::string body;
};

/// @brief Result of an exchange.
struct exchange_result {
  routing::attempt_result result = routing::attempt_result::broken;
  delivery::shared_upstream_response answer;  ///< Set when the result is answered; always complete.
  std::optional<routing::load_report> load;
  std::optional<base::duration> retry_after;  ///< Value of the upstream's Retry-After header.
  bool shed = false;                          ///< The upstream refused because of load.
};

/// @brief Identifies an exchange for cancel().
struct exchange_key {
  base::call_id call;
  base::attempt_number attempt;
  auto operator<=>(const exchange_key&) const = default;
};

/// @brief Limits of the client.
struct upstream_client_options {
  base::duration connect_timeout = std::chrono::milliseconds(250);
  std::size_t max_idle_connections = 64;        ///< Per upstream.
  std::uint64_t max_answer_bytes = 64U << 20U;  ///< Body limit; a larger answer counts as broken.
};

/// @brief Time limits and additional headers of an exchange.
struct exchange_options {
  base::instant deadline{};  ///< The exchange ends at this time at the latest.
  base::duration silence = std::chrono::seconds(1);               ///< See exchange().
  std::vector<std::pair<std::string, std::string>> headers = {};  ///< Added to the request.
};

/// @brief Sends requests to upstreams. Thread-safe.
class upstream_client {
 public:
  upstream_client(upstream_client_options options, base::clock_hook clock);
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;
  upstream_client(upstream_client&&) = delete;
  upstream_client& operator=(upstream_client&&) = delete;
  ~upstream_client();

  /// @brief Sends a request and waits for the complete answer.
  ///
  /// When no byte is received on a reused connection within options.silence, the connection may be
  /// dead, as may others that were opened before: all connections opened to the upstream so far
  /// are then closed to further exchanges.
  /// @param key Identifies the exchange for cancel().
  /// @return The result. The connection is closed unless a complete response was received.
  exchange_result exchange(const exchange_key& key,
                           const base::address& address,
                           const upstream_request& request,
                           const exchange_options& options);

  /// @brief Aborts an exchange; has no effect once it has ended.
  void cancel(const exchange_key& key);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace catkintack::net
