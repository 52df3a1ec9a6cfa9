/// @file
/// Determines the customer of a call.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "catkintack/base/ids.hpp"
#include "catkintack/routes/route_table.hpp"
#include "catkintack/serving/http_message.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::serving {

/// @brief Why a call is refused for its credentials.
enum class identity_refusal : std::uint8_t {
  no_customers_known,  ///< The deployment has customers, but the table lists none yet.
  no_key,              ///< No Authorization header.
  several_keys,        ///< More than one Authorization header.
  other_scheme,        ///< The scheme is not Bearer.
  malformed_key,       ///< The key is empty, or has spaces or control characters.
  unknown_key,         ///< No customer of the table has the key.
  not_identified       ///< A relayed call does not name exactly one customer of the table.
};

/// @brief Name of the refusal in metrics.
std::string_view to_text(identity_refusal refusal);

/// @brief The customer of a call, or the refusal.
struct caller_identity {
  base::customer_id customer{};  ///< Empty for a call without a customer.
  std::optional<identity_refusal> refusal{};

  bool operator==(const caller_identity&) const = default;
};

/// @brief Whether a deployment has customers, whatever the table lists.
enum class customer_requirement : std::uint8_t { by_table, always };

/// @brief Whether calls are subject to the rules for customers. Their keys are then removed before
/// they are forwarded.
bool has_customer_rules(const routes::route_table& table, customer_requirement required);

/// @brief Identifies the customer of a call by the key in its Authorization header.
///
/// A call on a public route is never refused: without a known key it has no customer. Without
/// customers, no call is refused and none has a customer.
/// @param table The newest table.
/// @param route Route of the call.
/// @param headers Headers of the request.
caller_identity identify_caller(const routes::route_table& table,
                                const routes::route& route,
                                const http::fields& headers,
                                customer_requirement required = customer_requirement::by_table);

/// @brief Identifies the customer of a call that another host relays, by the header in which that
/// host names it.
///
/// A call with an Authorization header is refused on a route that is not public: the other host
/// has not checked its key, so its caller may have set the customer's header.
/// @param customer_header Name of the header.
caller_identity identify_relayed(const routes::route_table& table,
                                 const routes::route& route,
                                 const http::fields& headers,
                                 std::string_view customer_header,
                                 customer_requirement required = customer_requirement::by_table);

/// @brief Returns the response to a refused call. It contains nothing from the request.
local_response make_response(identity_refusal refusal);

}  // namespace catkintack::serving
