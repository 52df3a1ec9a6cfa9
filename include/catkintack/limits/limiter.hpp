/// @file
/// Admission of requests within the customers' allowances.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/config/allowance.hpp"

namespace catkintack::limits {

/// @brief The limiter's word on a request.
struct admission {
  bool admitted = false;
  base::duration retry_after{};  ///< When a refused caller may come back.
};

/// @brief This host's share of every customer's allowance. Not thread-safe.
class limiter {
 public:
  /// @brief Sets how many hosts share the allowances.
  /// @param live_hosts Hosts believed to serve, at least 1.
  void set_live_hosts(std::uint32_t live_hosts);

  /// @brief Asks to run a request; an admitted one must be released.
  /// @param now The time.
  /// @param customer The customer.
  /// @param allowance What its plan may use of the service.
  /// @return Whether the request may run.
  admission admit(base::instant now,
                  const base::customer_id& customer,
                  const config::allowance& allowance);

  /// @brief Ends an admitted request.
  /// @param customer The customer.
  /// @param service The service.
  void release(const base::customer_id& customer, const base::service_id& service);

 private:
  struct bucket {
    double tokens = 0;
    base::instant filled_at{};
    std::uint32_t running = 0;
  };

  std::uint32_t live_hosts_ = 1;
  std::map<std::pair<base::customer_id, base::service_id>, bucket> buckets_;
};

}  // namespace catkintack::limits
