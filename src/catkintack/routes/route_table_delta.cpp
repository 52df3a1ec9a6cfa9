#include "catkintack/routes/route_table_delta.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::routes {
namespace {

using routes_by_name = std::map<route_id, const route*>;

/// @brief Indexes the routes of a table; nothing if their order matters.
std::optional<routes_by_name> index_routes(const route_table& table) {
  routes_by_name result;
  std::set<std::pair<std::string, std::string>> places;
  for (const route& one : table.routes()) {
    const bool name_is_new = result.emplace(one.name, &one).second;
    if (!name_is_new || !places.emplace(one.host, one.prefix).second) {
      return std::nullopt;
    }
  }
  return result;
}

}  // namespace

std::optional<route_table_delta> find_difference(const route_table& before,
                                                 const route_table& after) {
  const auto old_routes = index_routes(before);
  const auto new_routes = index_routes(after);
  if (!old_routes || !new_routes) {
    return std::nullopt;
  }
  route_table_delta result{.base_version = before.version(),
                           .version = after.version(),
                           .limits = after.limits(),
                           .profiles = after.profiles()};
  for (const auto& [name, one] : *new_routes) {
    const auto found = old_routes->find(name);
    if (found == old_routes->end() || *found->second != *one) {
      result.changed.push_back(*one);
    }
  }
  for (const auto& [name, one] : *old_routes) {
    if (!new_routes->contains(name)) {
      result.removed.push_back(name);
    }
  }
  for (const customer_policy& one : after.customers()) {
    const customer_policy* const known = before.find_customer(one.id);
    if (known == nullptr || *known != one) {
      result.changed_customers.push_back(one);
    }
  }
  for (const customer_policy& one : before.customers()) {
    if (after.find_customer(one.id) == nullptr) {
      result.removed_customers.push_back(one.id);
    }
  }
  return result;
}

std::optional<route_table> apply_difference(const route_table& before,
                                            const route_table_delta& delta) {
  if (before.version() != delta.base_version) {
    return std::nullopt;
  }
  std::set<route_id> replaced(delta.removed.begin(), delta.removed.end());
  for (const route& one : delta.changed) {
    replaced.insert(one.name);
  }
  route_table_builder builder(delta.version);
  builder.limits(delta.limits);
  for (const service_profile& profile : delta.profiles) {
    builder.add(profile);
  }
  for (const route& one : before.routes()) {
    if (!replaced.contains(one.name)) {
      builder.add(one);
    }
  }
  for (const route& one : delta.changed) {
    builder.add(one);
  }
  std::set<base::customer_id> replaced_customers(delta.removed_customers.begin(),
                                                 delta.removed_customers.end());
  for (const customer_policy& one : delta.changed_customers) {
    replaced_customers.insert(one.id);
    builder.add(one);
  }
  for (const customer_policy& one : before.customers()) {
    if (!replaced_customers.contains(one.id)) {
      builder.add(one);
    }
  }
  return std::move(builder).build();
}

}  // namespace catkintack::routes
