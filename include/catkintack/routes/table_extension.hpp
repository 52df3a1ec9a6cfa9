/// @file
/// The parts of a route table that hosts of builds before 0.9 cannot decode.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/routes/route_table.hpp"
#include "catkintack/routes/route_table_delta.hpp"

namespace catkintack::routes {

/// @brief Restrictions of a route, for builds before route_restriction. Names are unique only
/// within one host, so that several routes may have the name.
struct route_extension {
  route_id name;
  bool is_public = false;
  std::vector<base::region_id> allowed_regions{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, is_public, allowed_regions);
  }
};

/// @brief Restrictions of the route at one position of a transferred list.
struct route_restriction {
  std::uint32_t position = 0;
  bool is_public = false;
  std::vector<base::region_id> allowed_regions{};

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, is_public, allowed_regions);
  }
};

/// @brief Warm-up rate of a service.
struct service_extension {
  base::service_id service;
  double warm_up_rate = 0;  ///< Calls per second.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, warm_up_rate);
  }
};

/// @brief Completes a route table, or the difference between two, after its transfer.
///
/// It follows the other fields of a message: builds that do not know it ignore it.
struct table_extension {
  std::vector<route_extension> routes{};  ///< Routes with restrictions, for older builds.
  std::vector<service_extension> services{};
  std::vector<customer_policy> customers{};            ///< Of a difference: the changed ones.
  std::vector<base::customer_id> removed_customers{};  ///< Of a difference.
  /// The same routes, by position; nothing in a message of an older build.
  std::optional<std::vector<route_restriction>> restrictions{};

  /// @brief Serializes with cereal; the restrictions follow in a list of their own.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(routes, services, customers, removed_customers);
  }
};

/// @brief Extracts the extension of a table.
table_extension make_extension(const route_table& table);
/// @brief Extracts the extension of a difference.
table_extension make_extension(const route_table_delta& delta);
/// @brief Completes a table that was transferred without its extension. Without restrictions, a
/// route whose name is not unique is not made public. Throws std::out_of_range for a position that
/// the table does not have.
void extend(route_table& table, const table_extension& extension);
/// @brief Completes a difference that was transferred without its extension.
void extend(route_table_delta& delta, const table_extension& extension);

}  // namespace catkintack::routes
