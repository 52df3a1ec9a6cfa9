#include "catkintack/routes/route_table_builder.hpp"

#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace catkintack::routes {
namespace {

std::optional<std::string> find_route_error(const route& checked) {
  const std::string name = "route \"" + checked.name.value() + "\" ";
  if (checked.host.empty()) {
    return name + "has no host";
  }
  if (!checked.prefix.starts_with('/') || !checked.prefix.ends_with('/')) {
    return name + "has a prefix that does not begin and end with a slash";
  }
  if (checked.services.empty()) {
    return name + "names no service";
  }
  std::uint64_t weights = 0;
  for (const weighted_service& part : checked.services) {
    weights += part.weight;
  }
  if (weights == 0) {
    return name + "has no part with a weight above 0";
  }
  if (checked.timeout <= base::duration::zero()) {
    return name + "has no timeout";
  }
  if (checked.max_attempts == 0) {
    return name + "allows no attempt";
  }
  return std::nullopt;
}

std::optional<std::string> find_customer_error(const std::vector<customer_policy>& customers) {
  std::set<base::customer_id> ids;
  std::map<std::string, base::customer_id> owners;
  for (const customer_policy& checked : customers) {
    const std::string name = "customer \"" + checked.id.value() + "\" ";
    if (checked.id.value().empty()) {
      return "a customer has no name";
    }
    if (!ids.insert(checked.id).second) {
      return name + "is listed twice";
    }
    if (!std::isfinite(checked.rate_per_second) || checked.rate_per_second < 0) {
      return name + "has a rate that is not a number of 0 or more";
    }
    for (const std::string& key : checked.key_hashes) {
      const auto [owner, inserted] = owners.emplace(key, checked.id);
      if (!inserted && owner->second != checked.id) {
        return name + "has a key of customer \"" + owner->second.value() + "\"";
      }
    }
  }
  return std::nullopt;
}

}  // namespace

route_table_builder::route_table_builder(base::list_version version) { table_.version_ = version; }

route_table_builder& route_table_builder::limits(request_limits limits) {
  table_.limits_ = limits;
  return *this;
}

route_table_builder& route_table_builder::add(route added) {
  table_.routes_.push_back(std::move(added));
  return *this;
}

route_table_builder& route_table_builder::add(service_profile added) {
  table_.profiles_.push_back(std::move(added));
  return *this;
}

route_table_builder& route_table_builder::add(customer_policy added) {
  table_.customers_.push_back(std::move(added));
  return *this;
}

std::optional<std::string> route_table_builder::find_error() const {
  if (table_.version_ == base::list_version()) {
    return "the version is 0";
  }
  std::set<base::service_id> services;
  for (const service_profile& profile : table_.profiles_) {
    if (!std::isfinite(profile.warm_up_rate) || profile.warm_up_rate < 0) {
      return "service \"" + profile.service.value() +
             "\" has a warm-up rate that is not a number of 0 or more";
    }
    services.insert(profile.service);
  }
  for (const route& checked : table_.routes_) {
    if (auto found = find_route_error(checked)) {
      return found;
    }
    for (const weighted_service& part : checked.services) {
      if (!services.contains(part.service)) {
        return "route \"" + checked.name.value() + "\" names the unknown service \"" +
               part.service.value() + "\"";
      }
    }
  }
  return find_customer_error(table_.customers());
}

route_table route_table_builder::build() && {
  table_.index();
  return std::move(table_);
}

}  // namespace catkintack::routes
