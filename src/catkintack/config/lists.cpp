#include "catkintack/config/lists.hpp"

namespace catkintack::config {

lists::lists(plans_list plans, allowances_list allowances)
    : plans_(std::move(plans)), allowances_(std::move(allowances)) {
  for (const auto& [id, entry] : plans_.customers) {
    by_key_hash_.emplace(entry.key_hash, id);
  }
}

const customer* lists::find_customer(const std::string& key_hash) const {
  const auto found = by_key_hash_.find(key_hash);
  if (found == by_key_hash_.end()) {
    return nullptr;
  }
  return &plans_.customers.at(found->second);
}

const allowance* lists::find_allowance(const base::plan_id& plan,
                                       const base::service_id& service) const {
  const auto found = allowances_.allowances.find({plan, service});
  return found == allowances_.allowances.end() ? nullptr : &found->second;
}

}  // namespace catkintack::config
