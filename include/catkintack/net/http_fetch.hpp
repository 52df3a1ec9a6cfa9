/// @file
/// Single HTTP exchanges with servers of the deployment.
#pragma once

#include <cstdint>
#include <string>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/net/http_connection.hpp"

namespace catkintack::net {

/// @brief A request, and the limits of its exchange.
struct fetch_options {
  base::address where{};
  std::string method = "GET";
  std::string target = "/";
  std::string content_type{};  ///< Of the body; empty: there is no body.
  std::string body{};
  base::duration connect_timeout = std::chrono::seconds(1);
  base::duration timeout = std::chrono::seconds(1);  ///< Of the exchange, after the connection.
  std::uint64_t max_body_bytes = 16U << 20U;         ///< A larger answer counts as broken.
};

/// @brief The outcome of an exchange.
struct fetch_result {
  http_exchange_status status = http_exchange_status::not_sent;
  http_response response{};  ///< Valid only when the status is complete.
};

/// @brief Sends a request over a new connection and waits for the complete answer. Head and body of
/// the answer are limited, however long the server sends.
fetch_result fetch(const fetch_options& options);

/// @brief Describes the status of an incomplete exchange, for messages.
const char* to_text(http_exchange_status status);

}  // namespace catkintack::net
