/// @file
/// One route: which requests it takes and how they are to be handled.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::routes {

using route_id = base::strong_id<struct route_tag>;  ///< A route of the route table.

/// @brief What may be done with a request of which it is unknown whether it ran.
enum class delivery_kind : std::uint8_t {
  repeatable,   ///< Idempotent: may run more than once.
  at_most_once  ///< Must never run twice.
};

/// @brief One part of a traffic split.
struct weighted_service {
  base::service_id service;
  std::uint32_t weight = 1;  ///< Share of the requests, relative to the other parts.

  bool operator==(const weighted_service&) const = default;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

/// @brief A route as the operators define it.
struct route {
  route_id name;
  std::string host;                        ///< Lower case, without a port.
  std::string prefix;                      ///< Begins and ends with a slash.
  std::vector<weighted_service> services;  ///< At least one.
  delivery_kind delivery = delivery_kind::at_most_once;
  base::duration timeout{};            ///< Longest time that a caller is kept waiting.
  base::duration latency_objective{};  ///< Time within which an answer has its full value.
  std::uint32_t max_attempts = 1;      ///< Upstreams that one call may be sent to.
  std::uint32_t priority_rank = 0;     ///< 0 is the most urgent.

  bool operator==(const route&) const = default;

  /// @brief Serializes with cereal; spans travel as microseconds.
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

}  // namespace catkintack::routes
