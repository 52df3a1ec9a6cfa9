/// @file
/// All routes of one version of the operators' configuration.
#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/routes/request_limits.hpp"
#include "catkintack/routes/route.hpp"
#include "catkintack/routes/service_profile.hpp"

namespace catkintack::routes {

/// @brief An immutable set of routes; made by route_table_builder.
class route_table {
 public:
  route_table() = default;

  /// @brief The version of the configuration.
  /// @return 0 for an empty table.
  base::list_version version() const { return version_; }
  /// @brief Bounds on callers' requests.
  const request_limits& limits() const { return limits_; }
  /// @brief Every route, in no particular order.
  const std::vector<route>& routes() const { return routes_; }

  /// @brief Finds the route of a request.
  /// @param host The Host header's value, with or without a port, in any case.
  /// @param target The request target; a query is ignored.
  /// @return Among the routes of the host, the one with the longest prefix that begins the path;
  /// null when there is none. Valid as long as the table.
  const route* match(std::string_view host, std::string_view target) const;

  /// @brief Finds the profile of a service.
  /// @param service The service.
  /// @return The profile; defaults for a service that the configuration does not name.
  service_profile profile(const base::service_id& service) const;

  /// @brief Serializes with cereal.
  template <class Archive>
  void save(Archive& archive) const {
    archive(version_, limits_, routes_, profiles_);
  }
  /// @brief Deserializes with cereal.
  template <class Archive>
  void load(Archive& archive) {
    archive(version_, limits_, routes_, profiles_);
    index();
  }

 private:
  friend class route_table_builder;
  void index();

  base::list_version version_;
  request_limits limits_;
  std::vector<route> routes_;
  std::vector<service_profile> profiles_;
  /// Positions in routes_, longest prefix first, by host.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

}  // namespace catkintack::routes
