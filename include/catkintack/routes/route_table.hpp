/// @file
/// Routes of one version of the operators' configuration.
#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/routes/customer_policy.hpp"
#include "catkintack/routes/request_limits.hpp"
#include "catkintack/routes/route.hpp"
#include "catkintack/routes/service_profile.hpp"

namespace catkintack::routes {

/// @brief Immutable set of routes, created by route_table_builder.
class route_table {
 public:
  route_table() = default;

  /// @brief Returns the version of the configuration; 0 for an empty table.
  base::list_version version() const { return version_; }
  /// @brief Returns the limits on callers' requests.
  const request_limits& limits() const { return limits_; }
  /// @brief Returns all routes in no particular order.
  const std::vector<route>& routes() const { return routes_; }
  /// @brief Returns the profiles of the services that the configuration names.
  const std::vector<service_profile>& profiles() const { return profiles_; }

  /// @brief Finds the route for a request.
  /// @param host Value of the Host header, with or without a port; case is ignored.
  /// @param target Request target; the query is ignored.
  /// @return The route of the host with the longest prefix that matches the path, or null when
  /// there is none. Valid for the lifetime of the table.
  const route* match(std::string_view host, std::string_view target) const;

  /// @brief Returns the profile of a service, or the defaults if the configuration does not name
  /// it.
  service_profile profile(const base::service_id& service) const;

  /// @brief Returns the customers in no particular order.
  const std::vector<customer_policy>& customers() const { return customers_; }
  /// @brief Whether calls need the key of a customer, apart from those on public routes.
  bool has_customers() const { return !customers_.empty(); }
  /// @brief Returns a customer, or null. Valid for the lifetime of the table.
  const customer_policy* find_customer(const base::customer_id& id) const;
  /// @brief Returns the customer with a key, or null. Valid for the lifetime of the table.
  /// @param key_hash Result of config::hash_key.
  const customer_policy* find_customer_by_key(std::string_view key_hash) const;

  /// @brief Serializes with cereal, without the parts in the table_extension.
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
  /// Indices into routes_ by host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
  std::vector<customer_policy> customers_;
  std::map<base::customer_id, std::size_t> customer_by_id_;          ///< Indices into customers_.
  std::map<std::string, std::size_t, std::less<>> customer_by_key_;  ///< The same, by key hash.
};

}  // namespace catkintack::routes
