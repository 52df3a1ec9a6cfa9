/// @file
/// The plans and allowances lists that a host uses.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "catkintack/base/ids.hpp"
#include "catkintack/config/allowance.hpp"
#include "catkintack/config/customer.hpp"

namespace catkintack::config {

/// @brief The customers and their plans.
struct plans_list {
  base::list_version version;
  std::map<base::customer_id, customer> customers;
};

/// @brief The limits of each plan for each service.
struct allowances_list {
  base::list_version version;
  std::map<std::pair<base::plan_id, base::service_id>, allowance> allowances;
};

/// @brief Both lists, with an index of customers by key hash. Immutable after construction.
class lists {
 public:
  lists() = default;
  lists(plans_list plans, allowances_list allowances);

  const plans_list& plans() const { return plans_; }
  const allowances_list& allowances() const { return allowances_; }

  /// @brief Returns the customer that a key belongs to, or null when there is none.
  /// @param key_hash SHA-256 of the key in hexadecimal.
  const customer* find_customer(const std::string& key_hash) const;

  /// @brief Returns the allowance of a plan for a service, or null when there is none.
  const allowance* find_allowance(const base::plan_id& plan, const base::service_id& service) const;

 private:
  plans_list plans_;
  allowances_list allowances_;
  std::map<std::string, base::customer_id> by_key_hash_;
};

/// Lists shared between the control thread, which replaces them, and the traffic threads, which
/// read them.
using shared_lists = std::shared_ptr<const lists>;

}  // namespace catkintack::config
