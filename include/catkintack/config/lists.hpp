/// @file
/// The operators' two lists as they are in force on a host.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/allowance.hpp"
#include "catkintack/config/customer.hpp"

namespace catkintack::config {

/// @brief The plans that customers hold.
struct plans_list {
  base::list_version version;
  std::map<base::customer_id, customer> customers;
};

/// @brief What each plan may use of each service.
struct allowances_list {
  base::list_version version;
  std::map<std::pair<base::plan_id, base::service_id>, allowance> allowances;
};

/// @brief Both lists, with an index from key hash to customer. Immutable once built.
class lists {
 public:
  lists() = default;
  lists(plans_list plans, allowances_list allowances);

  const plans_list& plans() const { return plans_; }
  const allowances_list& allowances() const { return allowances_; }

  /// @brief Finds the customer holding a key.
  /// @param key_hash SHA-256 of the key in hexadecimal.
  /// @return The customer, or null when no customer holds the key.
  const customer* find_customer(const std::string& key_hash) const;

  /// @brief Finds what a plan may use of a service.
  /// @param plan The plan.
  /// @param service The service.
  /// @return The allowance, or null when the plan has none.
  const allowance* find_allowance(const base::plan_id& plan, const base::service_id& service) const;

 private:
  plans_list plans_;
  allowances_list allowances_;
  std::map<std::string, base::customer_id> by_key_hash_;
};

/// Lists shared between the control thread, which replaces them, and traffic threads.
using shared_lists = std::shared_ptr<const lists>;

}  // namespace catkintack::config
