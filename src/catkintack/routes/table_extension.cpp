#include "catkintack/routes/table_extension.hpp"

#include <map>
#include <utility>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::routes {
namespace {

table_extension describe(const std::vector<route>& routes,
                         const std::vector<service_profile>& profiles) {
  table_extension result;
  for (const route& one : routes) {
    if (one.is_public || !one.allowed_regions.empty()) {
      result.routes.push_back({one.name, one.is_public, one.allowed_regions});
    }
  }
  for (const service_profile& one : profiles) {
    if (one.warm_up_rate > 0) {
      result.services.push_back({one.service, one.warm_up_rate});
    }
  }
  return result;
}

void complete(std::vector<route>& routes, const table_extension& extension) {
  std::map<route_id, const route_extension*> by_name;
  for (const route_extension& one : extension.routes) {
    by_name[one.name] = &one;
  }
  for (route& one : routes) {
    if (const auto found = by_name.find(one.name); found != by_name.end()) {
      one.is_public = found->second->is_public;
      one.allowed_regions = found->second->allowed_regions;
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
