/// @file
/// Collects routes into a checked route table.
#pragma once

#include <optional>
#include <string>

#include "catkintack/routes/route_table.hpp"

namespace catkintack::routes {

/// @brief Builds a route table; the table is refused as a whole when any part is wrong.
class route_table_builder {
 public:
  explicit route_table_builder(base::list_version version);

  /// @brief Sets the bounds on callers' requests.
  route_table_builder& limits(request_limits limits);
  /// @brief Adds a route.
  route_table_builder& add(route added);
  /// @brief Adds the profile of a service.
  route_table_builder& add(service_profile added);

  /// @brief The first thing that is wrong.
  /// @return A sentence that names the route or service, or nothing.
  std::optional<std::string> find_error() const;

  /// @brief Makes the table. Requires that problem() returns nothing.
  route_table build() &&;

 private:
  route_table table_;
};

}  // namespace catkintack::routes
