/// @file
/// How many extra attempts a service and a call chain may cost.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief Bounds of retries.
struct retry_budget_options {
  double ratio = 0.1;  ///< Retries per request of a service.
  double burst = 100;  ///< Retries of a service at once; also there at the start.
  std::uint32_t max_extra_attempts = 20;  ///< Extra attempts of one call over all its levels.
  std::uint32_t max_depth = 32;  ///< Gateways that a call may have crossed before this one.
};

/// @brief Why an attempt failed, as far as a retry is concerned.
enum class failure_kind {
  not_sent,     ///< It cost no upstream anything.
  refused,      ///< It did not run, so nothing below it was attempted.
  may_have_run  ///< It may have spent all that it was given for the levels below.
};

/// @brief The retries of one host. Not thread-safe.
///
/// A call keeps one extra attempt at each level and gives the rest to the level below. Whatever
/// the levels do, a call costs at most its budget in attempts that may have run.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options = {});

  /// @brief Counts a request.
  /// @param service Its service.
  /// @param given Extra attempts that the level above allows; none for a call from outside.
  /// @return Extra attempts that this level and all below may make.
  std::uint32_t add_call(const base::service_id& service,
                         std::optional<std::uint32_t> caller_budget);

  /// @brief What the level below is given.
  /// @param call_budget Extra attempts that this level and all below may make.
  /// @return One less, and never below 0.
  static std::uint32_t downstream_budget(std::uint32_t call_budget);

  /// @brief Asks to attempt again, or to hedge; a yes spends.
  /// @param service The service.
  /// @param failure How the attempt before failed; may_have_run for a hedge.
  /// @param time_left Until the call's deadline.
  /// @param call_budget The call's extra attempts, lowered when spent.
  /// @return Whether the attempt may be made.
  bool try_spend(const base::service_id& service,
                 failure_kind failure,
                 base::duration time_left,
                 std::uint32_t& call_budget);

  /// @brief Learns how long an answer took.
  /// @param service The service.
  /// @param elapsed From sending to the whole answer.
  void record_response_time(const base::service_id& service, base::duration elapsed);

 private:
  struct service_state {
    double tokens = 0;
    double smoothed_response_seconds = 0;  ///< Smoothed time of an answer; 0 before the first.
  };

  service_state& find_or_add(const base::service_id& service);

  retry_budget_options options_;
  std::map<base::service_id, service_state> services_;
};

}  // namespace catkintack::limits
