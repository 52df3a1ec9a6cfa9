/// @file
/// The difference between two versions of the route table.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <vector>

#include "catkintack/routes/route_table.hpp"

namespace catkintack::routes {

/// @brief What changes from one version of the route table to a later one.
struct route_table_delta {
  base::list_version base_version;  ///< Applies to the table of this version only.
  base::list_version version;       ///< Version of the table afterwards.
  request_limits limits;
  std::vector<service_profile> profiles{};  ///< All profiles of the later version.
  std::vector<route> changed{};             ///< New routes, and routes that differ.
  std::vector<route_id> removed{};
  std::vector<customer_policy> changed_customers{};  ///< New ones, and those that differ.
  std::vector<base::customer_id> removed_customers{};

  /// @brief Serializes with cereal; the customers are part of the table_extension.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(base_version, version, limits, profiles, changed, removed);
  }
};

/// @brief Computes the difference between two tables.
/// @return Nothing if a table has several routes of one name, or of one host and prefix: their
/// order matters, and a difference does not keep it.
std::optional<route_table_delta> find_difference(const route_table& before,
                                                 const route_table& after);

/// @brief Applies a difference.
/// @return Nothing if the table has another version than the difference is based on.
std::optional<route_table> apply_difference(const route_table& before,
                                            const route_table_delta& delta);

}  // namespace catkintack::routes
