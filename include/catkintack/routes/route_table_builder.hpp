/// @file
/// Builds and validates a route table.
#pragma once

#include <optional>
#include <string>

#include "catkintack/routes/route_table.hpp"

namespace catkintack::routes {

/// @brief Builds a route table. The whole table is rejected if any part is invalid.
class route_table_builder {
 public:
  explicit route_table_builder(base::list_version version);

  /// @brief Sets the limits on callers' requests.
  route_table_builder& limits(request_limits limits);
  /// @brief Adds a route.
  route_table_builder& add(route added);
  /// @brief Adds the profile of a service.
  route_table_builder& add(service_profile added);

  /// @brief Adds a customer.
  route_table_builder& add(customer_policy added);

  /// @brief Validates the table.
  /// @return The first error, with the name of the route or service, or nothing if the table is
  /// valid.
  std::optional<std::string> find_error() const;

  /// @brief Creates the table. Requires that find_error() returns nothing.
  route_table build() &&;

 private:
  route_table table_;
};

}  // namespace catkintack::routes
