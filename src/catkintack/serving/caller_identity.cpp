#include "catkintack/serving/caller_identity.hpp"

#include <algorithm>
#include <iterator>
#include <string>

#include "catkintack/config/key_hash.hpp"
#include "catkintack/serving/status.hpp"

namespace catkintack::serving {
namespace {

// Retry-After of a host that waits for its first configuration with customers.
constexpr base::duration no_customers_retry_after = std::chrono::milliseconds(300);

beast::string_view to_beast(std::string_view text) { return {text.data(), text.size()}; }

caller_identity refused(identity_refusal why) { return {.refusal = why}; }

bool is_space_or_control(char one) {
  constexpr unsigned char space = 0x20;
  constexpr unsigned char rubout = 0x7F;
  const auto code = static_cast<unsigned char>(one);
  return code <= space || code == rubout;
}

/// @brief Identifies the owner of the key in the only Authorization header.
caller_identity identify_by_key(const routes::route_table& table, const http::fields& headers) {
  constexpr std::string_view bearer = "Bearer";
  const std::size_t count = headers.count(http::field::authorization);
  if (count != 1) {
    return refused(count == 0 ? identity_refusal::no_key : identity_refusal::several_keys);
  }
  const std::string_view value = to_string_view(headers[http::field::authorization]);
  const std::size_t scheme_end = std::min(value.find(' '), value.size());
  if (!beast::iequals(to_beast(value.substr(0, scheme_end)), to_beast(bearer))) {
    return refused(identity_refusal::other_scheme);
  }
  // One or more spaces separate the scheme and the key (RFC 9110, section 11.4).
  const std::size_t key_begin = std::min(value.find_first_not_of(' ', scheme_end), value.size());
  const std::string_view key = value.substr(key_begin);
  if (key.empty() || std::ranges::any_of(key, is_space_or_control)) {
    return refused(identity_refusal::malformed_key);
  }
  const routes::customer_policy* const owner =
      table.find_customer_by_key(config::hash_key(std::string(key)));
  return owner == nullptr ? refused(identity_refusal::unknown_key)
                          : caller_identity{.customer = owner->id};
}

caller_identity identify_by_name(const routes::route_table& table,
                                 const http::fields& headers,
                                 std::string_view customer_header) {
  const auto [first, last] = headers.equal_range(to_beast(customer_header));
  if (std::distance(first, last) != 1) {
    return refused(identity_refusal::not_identified);
  }
  const base::customer_id named{std::string(to_string_view(first->value()))};
  return table.find_customer(named) == nullptr ? refused(identity_refusal::not_identified)
                                               : caller_identity{.customer = named};
}

/// @brief Applies the rules that do not depend on how the customer is identified.
template <class Identify>
caller_identity identify(const routes::route_table& table,
                         const routes::route& route,
                         customer_requirement required,
                         const Identify& by_credentials) {
  if (!table.has_customers()) {
    return required == customer_requirement::always && !route.is_public
               ? refused(identity_refusal::no_customers_known)
               : caller_identity{};
  }
  caller_identity result = by_credentials();
  if (route.is_public) {
    result.refusal.reset();
  }
  return result;
}

}  // namespace

std::string_view to_text(identity_refusal refusal) {
  switch (refusal) {
    case identity_refusal::no_customers_known:
      return "no_customers_known";
    case identity_refusal::no_key:
      return "no_key";
    case identity_refusal::several_keys:
      return "several_keys";
    case identity_refusal::other_scheme:
      return "other_scheme";
    case identity_refusal::malformed_key:
      return "malformed_key";
    case identity_refusal::unknown_key:
      return "unknown_key";
    case identity_refusal::not_identified:
      return "not_identified";
  }
  return "unknown";
}

bool has_customer_rules(const routes::route_table& table, customer_requirement required) {
  return table.has_customers() || required == customer_requirement::always;
}

caller_identity identify_caller(const routes::route_table& table,
                                const routes::route& route,
                                const http::fields& headers,
                                customer_requirement required) {
  return identify(table, route, required, [&] { return identify_by_key(table, headers); });
}

caller_identity identify_relayed(const routes::route_table& table,
                                 const routes::route& route,
                                 const http::fields& headers,
                                 std::string_view customer_header,
                                 customer_requirement required) {
  return identify(table, route, required, [&] {
    return headers.count(http::field::authorization) > 0
               ? refused(identity_refusal::not_identified)
               : identify_by_name(table, headers, customer_header);
  });
}

local_response make_response(identity_refusal refusal) {
  const auto unauthorized = [](std::string reason) {
    return local_response{
        .status = status::unauthorized, .body = std::move(reason), .authenticate = "Bearer"};
  };
  switch (refusal) {
    case identity_refusal::no_customers_known:
      return {.status = status::unavailable,
              .body = "not run: no customers known yet\n",
              .retry_after = no_customers_retry_after};
    case identity_refusal::no_key:
      return unauthorized("the request has no key\n");
    case identity_refusal::several_keys:
      return unauthorized("the request has several keys\n");
    case identity_refusal::other_scheme:
      return unauthorized("the key does not have the scheme Bearer\n");
    case identity_refusal::malformed_key:
      return unauthorized("the key is empty, or has spaces or control characters\n");
    case identity_refusal::unknown_key:
      return unauthorized("the key is not known\n");
    case identity_refusal::not_identified:
      return {.status = status::misdirected,
              .body = "not run: the call names no customer of this host\n"};
  }
  return unauthorized("the request has no known key\n");
}

}  // namespace catkintack::serving
