#include "catkintack/limits/demand_report.hpp"

#include <xxhash.h>

namespace catkintack::limits {

account_key make_account_key(const base::customer_id& customer, const base::service_id& service) {
  const std::string text = customer.value() + '\0' + service.value();
  return XXH32(text.data(), text.size(), 0);
}

}  // namespace catkintack::limits
