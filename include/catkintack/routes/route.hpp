/// @file
/// A route: which requests it matches and how they are handled.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::routes {

using route_id = base::strong_id<struct route_tag>;  ///< Names a route of the route table.

/// @brief Whether a request may be sent again when it is unknown whether it ran.
enum class delivery_kind : std::uint8_t {
  repeatable,   ///< Idempotent: may run more than once.
  at_most_once  ///< Must not run twice.
};

/// @brief Service in a traffic split.
struct weighted_service {
  base::service_id service;
  std::uint32_t weight = 1;  ///< Share of the requests relative to the other services.

  bool operator==(const weighted_service&) const = default;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

/// @brief Route defined by the operators.
struct route {
  route_id name;
  std::string host;                        ///< Lower case, without a port.
  std::string prefix;                      ///< Path prefix that begins and ends with a slash.
  std::vector<weighted_service> services;  ///< At least one.
  delivery_kind delivery = delivery_kind::at_most_once;
  base::duration timeout{};            ///< Maximum time until the caller gets an answer.
  base::duration latency_objective{};  ///< Time within which a response has its full value.
  std::uint32_t max_attempts = 1;      ///< Number of upstreams that a call may be sent to.
  std::uint32_t priority_rank = 0;     ///< 0 is the highest priority.
  /// Whether calls need no key. Without customers, no call needs one.
  bool is_public = false;
  std::vector<base::region_id> allowed_regions{};  ///< Sorted; empty: all.

  bool operator==(const route&) const = default;

  /// @brief Serializes with cereal; durations are encoded in microseconds. The last two fields are
  /// part of the table_extension.
  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t timeout_us = timeout.count();
    std::int64_t objective_us = latency_objective.count();
    archive(name, host, prefix, services, delivery, timeout_us, objective_us, max_attempts,
            priority_rank);
    timeout = base::duration(timeout_us);
    latency_objective = base::duration(objective_us);
  }
};

/// @brief Returns what identifies a route within its table: names are unique only within one host.
inline std::string place_of(const route& one) { return one.host + one.prefix; }

}  // namespace catkintack::routes
