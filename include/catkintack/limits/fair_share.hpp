/// @file
/// Fair shares of a service between customers while the service is short of capacity.
#pragma once

#include <cstdint>
#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief When a service counts as short, and who counts as its customer.
struct fair_share_options {
  double saturation_threshold = 0.5;  ///< Part of the recent answers that met a queue or a refusal.
  double smoothing_factor = 0.05;     ///< Of an answer, in that part.
  base::duration idle_timeout = std::chrono::seconds(1);  ///< A customer silent for longer is not.
};

/// @brief Requests in progress of every customer at every service. Not thread-safe.
///
/// While a service is short, a customer that has its equal part of the requests in progress gets
/// no more; one below it always does. A customer that is alone is never refused.
class fair_share {
 public:
  explicit fair_share(fair_share_options options = {});

  /// @brief Learns from an attempt's end.
  /// @param service The service.
  /// @param saturated Whether the attempt met a queue or was refused.
  void record_saturation(const base::service_id& service, bool saturated);

  /// @brief Asks whether a customer may have one more request in progress.
  /// @param now The time.
  /// @param service The service.
  /// @param customer The customer.
  /// @return False for a customer at its share of a service that is short.
  bool may_start(base::instant now,
                 const base::service_id& service,
                 const base::customer_id& customer);

  /// @brief Counts a request in.
  /// @param service The service.
  /// @param customer The customer.
  void started(const base::service_id& service, const base::customer_id& customer);

  /// @brief Counts a request out.
  /// @param service The service.
  /// @param customer The customer.
  void ended(const base::service_id& service, const base::customer_id& customer);

  /// @brief Forgets customers that neither ask nor have requests in progress.
  /// @param now The time.
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
