/// @file
/// Limits on extra attempts per service and per call chain.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief Limits on retries.
struct retry_budget_options {
  double ratio = 0.1;                     ///< Retries per request of a service.
  double burst = 100;                     ///< Bucket capacity per service in retries; starts full.
  std::uint32_t max_extra_attempts = 20;  ///< Extra attempts of one call over all levels.
  std::uint32_t max_depth = 32;           ///< Gateways that a call may have passed before this one.
};

/// @brief Classifies a failed attempt by what it may have cost.
enum class failure_kind {
  not_sent,     ///< The attempt cost no upstream anything.
  refused,      ///< The request did not run, so no lower level was attempted.
  may_have_run  ///< The attempt may have used the whole budget of the lower levels.
};

/// @brief Retry budget of one host. Not thread-safe.
///
/// Each level of a call chain keeps one extra attempt and passes the rest to the level below. The
/// extra attempts of a call that may have run therefore never exceed its budget, whatever fails.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options = {});

  /// @brief Counts a call and determines its budget.
  /// @param caller_budget Extra attempts that the level above allows; none for an external call.
  /// @return Extra attempts that this level and all lower levels may make together.
  std::uint32_t add_call(const base::service_id& service,
                         std::optional<std::uint32_t> caller_budget);

  /// @brief Returns the budget for the level below.
  /// @param call_budget Extra attempts that this level and all lower levels may make together.
  /// @return One less than call_budget, but not below 0.
  static std::uint32_t downstream_budget(std::uint32_t call_budget);

  /// @brief Spends budget for a retry or a hedge if enough is left.
  /// @param failure How the previous attempt failed; may_have_run for a hedge.
  /// @param time_left Time until the deadline of the call.
  /// @param call_budget Extra attempts left for the call; reduced when spent.
  /// @return Whether the attempt may be made.
  bool try_spend(const base::service_id& service,
                 failure_kind failure,
                 base::duration time_left,
                 std::uint32_t& call_budget);

  /// @brief Updates the smoothed response time of a service.
  /// @param elapsed Time from sending the request to the complete response.
  void record_response_time(const base::service_id& service, base::duration elapsed);

 private:
  struct service_state {
    double tokens = 0;
    double smoothed_response_seconds = 0;  ///< 0 before the first response.
  };

  service_state& find_or_add(const base::service_id& service);

  retry_budget_options options_;
  std::map<base::service_id, service_state> services_;
};

}  // namespace catkintack::limits
