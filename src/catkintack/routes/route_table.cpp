#include "catkintack/routes/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <string>

namespace catkintack::routes {
namespace {

std::string normalize_host(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string name(host.substr(0, colon));
  std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name;
}

std::string_view extract_path(std::string_view target) {
  constexpr std::string_view scheme_separator = "://";
  if (!target.starts_with('/')) {
    // Absolute form (RFC 9112, section 3.2.2): the path starts after the authority.
    const std::size_t scheme = target.find(scheme_separator);
    const std::size_t slash = scheme == std::string_view::npos
                                  ? std::string_view::npos
                                  : target.find('/', scheme + scheme_separator.size());
    target = slash == std::string_view::npos ? std::string_view{} : target.substr(slash);
  }
  return target.substr(0, target.find('?'));
}

}  // namespace

const route* route_table::match(std::string_view host, std::string_view target) const {
  const auto found = by_host_.find(normalize_host(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = extract_path(target);
  for (const std::size_t position : found->second) {
    if (path.starts_with(routes_[position].prefix)) {
      return &routes_[position];
    }
  }
  return nullptr;
}

service_profile route_table::profile(const base::service_id& service) const {
  const auto found = std::ranges::find(profiles_, service, &service_profile::service);
  return found == profiles_.end() ? service_profile{.service = service} : *found;
}

const customer_policy* route_table::find_customer(const base::customer_id& id) const {
  const auto found = customer_by_id_.find(id);
  return found == customer_by_id_.end() ? nullptr : &customers_[found->second];
}

const customer_policy* route_table::find_customer_by_key(std::string_view key_hash) const {
  const auto found = customer_by_key_.find(key_hash);
  return found == customer_by_key_.end() ? nullptr : &customers_[found->second];
}

void route_table::index() {
  customer_by_id_.clear();
  customer_by_key_.clear();
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    customer_by_id_[customers_[i].id] = i;
    for (const std::string& key : customers_[i].key_hashes) {
      customer_by_key_[key] = i;
    }
  }
  by_host_.clear();
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    by_host_[normalize_host(routes_[i].host)].push_back(i);
  }
  for (auto& [host, positions] : by_host_) {
    std::ranges::stable_sort(positions, [this](std::size_t a, std::size_t b) {
      return routes_[a].prefix.size() > routes_[b].prefix.size();
    });
  }
}

}  // namespace catkintack::routes
