/// @file
/// Fair sharing of a saturated service between customers.
#pragma once

#include <cstdint>
#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief Thresholds that decide when a service is saturated and which customers are active.
struct fair_share_options {
  double saturation_threshold = 0.5;  ///< Fraction of recent attempts that were queued or refused.
  double smoothing_factor = 0.05;     ///< Weight of the newest attempt in that fraction.
  /// A customer without requests for longer is inactive.
  base::duration customer_idle_timeout = std::chrono::seconds(1);
};

/// @brief Tracks the requests in flight of each customer at each service. Not thread-safe.
///
/// While a service is saturated, a customer that holds its equal share of the requests in flight is
/// refused; a customer below its share is always admitted. A sole active customer is never refused.
class fair_share {
 public:
  explicit fair_share(fair_share_options options = {});

  /// @brief Updates the saturation estimate of a service when an attempt ends.
  /// @param saturated Whether the attempt was queued or refused.
  void record_saturation(const base::service_id& service, bool saturated) {
    record_saturation(service, saturated, options_.smoothing_factor);
  }
  /// @param weight Weight of this attempt in the estimate, 0 to 1.
  void record_saturation(const base::service_id& service, bool saturated, double weight);

  /// @brief Returns whether a customer may start one more request; also marks it as active.
  /// @return False when the service is saturated and the customer holds its share.
  bool may_start(base::instant now,
                 const base::service_id& service,
                 const base::customer_id& customer);

  /// @brief Counts a request that started.
  void started(const base::service_id& service, const base::customer_id& customer);

  /// @brief Counts a request that ended.
  void ended(const base::service_id& service, const base::customer_id& customer);

  /// @brief Returns the fraction of recent attempts that were queued or refused.
  double saturated_ratio(const base::service_id& service) const;

  /// @brief Returns the number of requests that a customer has in flight at a service.
  std::uint32_t in_flight(const base::service_id& service, const base::customer_id& customer) const;

  /// @brief Removes customers that are inactive and have no requests in flight.
  void evict_idle(base::instant now);

 private:
  struct customer_state {
    std::uint32_t in_flight = 0;
    base::instant last_request_at{};
  };

  struct service_state {
    double saturated_ratio = 0;
    std::uint32_t in_flight = 0;
    std::map<base::customer_id, customer_state> customers;
  };

  void evict_idle(base::instant now, service_state& state) const;

  fair_share_options options_;
  std::map<base::service_id, service_state> services_;
};

}  // namespace catkintack::limits
