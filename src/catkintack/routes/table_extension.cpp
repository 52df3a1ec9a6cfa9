#include "catkintack/routes/table_extension.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::routes {
namespace {

std::map<route_id, int> count_names(const std::vector<route>& routes) {
  std::map<route_id, int> result;
  for (const route& one : routes) {
    ++result[one.name];
  }
  return result;
}

/// @brief Regions that both lists allow. An empty list allows all.
std::vector<base::region_id> intersect(const std::vector<base::region_id>& one,
                                       const std::vector<base::region_id>& other) {
  if (one.empty() || other.empty()) {
    return one.empty() ? other : one;
  }
  std::vector<base::region_id> result;
  std::ranges::set_intersection(one, other, std::back_inserter(result));
  if (result.empty()) {
    result.emplace_back("none");  // An empty list would allow all.
  }
  return result;
}

using extensions_by_name = std::map<route_id, route_extension>;

/// @brief Combines restrictions that are known by name only. Where it is not clear which route of a
/// name they belong to, all get the strictest.
void combine(extensions_by_name& known, route_extension added, bool is_unique) {
  added.is_public = added.is_public && is_unique;
  const auto [found, inserted] = known.try_emplace(added.name, added);
  if (!inserted) {
    found->second.is_public = false;
    found->second.allowed_regions = intersect(found->second.allowed_regions, added.allowed_regions);
  }
}

table_extension describe(const std::vector<route>& routes,
                         const std::vector<service_profile>& profiles) {
  table_extension result;
  result.restrictions.emplace();
  const std::map<route_id, int> counts = count_names(routes);
  extensions_by_name by_name;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const route& one = routes[i];
    if (one.is_public || !one.allowed_regions.empty()) {
      combine(by_name, {one.name, one.is_public, one.allowed_regions}, counts.at(one.name) == 1);
      result.restrictions->push_back(
          {static_cast<std::uint32_t>(i), one.is_public, one.allowed_regions});
    }
  }
  for (auto& [name, one] : by_name) {
    result.routes.push_back(std::move(one));
  }
  for (const service_profile& one : profiles) {
    if (one.warm_up_rate > 0) {
      result.services.push_back({one.service, one.warm_up_rate});
    }
  }
  return result;
}

void complete(std::vector<route>& routes, const table_extension& extension) {
  if (extension.restrictions) {
    for (const route_restriction& one : *extension.restrictions) {
      route& restricted = routes.at(one.position);
      restricted.is_public = one.is_public;
      restricted.allowed_regions = one.allowed_regions;
    }
    return;
  }
  const std::map<route_id, int> counts = count_names(routes);
  extensions_by_name by_name;
  for (const route_extension& one : extension.routes) {
    combine(by_name, one, true);
  }
  for (route& one : routes) {
    if (const auto found = by_name.find(one.name); found != by_name.end()) {
      one.is_public = found->second.is_public && counts.at(one.name) == 1;
      one.allowed_regions = found->second.allowed_regions;
    }
  }
}

void complete(std::vector<service_profile>& profiles, const table_extension& extension) {
  for (const service_extension& one : extension.services) {
    for (service_profile& profile : profiles) {
      if (profile.service == one.service) {
        profile.warm_up_rate = one.warm_up_rate;
      }
    }
  }
}

}  // namespace

table_extension make_extension(const route_table& table) {
  table_extension result = describe(table.routes(), table.profiles());
  result.customers = table.customers();
  return result;
}

table_extension make_extension(const route_table_delta& delta) {
  table_extension result = describe(delta.changed, delta.profiles);
  result.customers = delta.changed_customers;
  result.removed_customers = delta.removed_customers;
  return result;
}

void extend(route_table& table, const table_extension& extension) {
  std::vector<route> routes = table.routes();
  std::vector<service_profile> profiles = table.profiles();
  complete(routes, extension);
  complete(profiles, extension);
  route_table_builder builder(table.version());
  builder.limits(table.limits());
  for (route& one : routes) {
    builder.add(std::move(one));
  }
  for (service_profile& one : profiles) {
    builder.add(std::move(one));
  }
  for (const customer_policy& one : extension.customers) {
    builder.add(one);
  }
  table = std::move(builder).build();
}

void extend(route_table_delta& delta, const table_extension& extension) {
  complete(delta.changed, extension);
  complete(delta.profiles, extension);
  delta.changed_customers = extension.customers;
  delta.removed_customers = extension.removed_customers;
}

}  // namespace catkintack::routes
