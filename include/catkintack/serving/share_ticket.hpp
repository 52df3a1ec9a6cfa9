/// @file
/// A call's part in the sharing of a service between customers.
#pragma once

#include <optional>

#include "catkintack/choice/placement.hpp"
#include "catkintack/limits/customer_share.hpp"
#include "catkintack/serving/call.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Applies `traffic_state::shares` to one call. Without effect for a call without customer.
class share_ticket {
 public:
  /// @brief Counts the call as demand of its customer, unless its caller retries.
  share_ticket(traffic_state& state, const call& served, const base::service_id& service);
  share_ticket(const share_ticket&) = delete;
  share_ticket& operator=(const share_ticket&) = delete;
  share_ticket(share_ticket&&) = delete;
  share_ticket& operator=(share_ticket&&) = delete;
  /// Ends the call if it was started.
  ~share_ticket();

  /// @brief Decides whether the call may be sent, held or queued. Logs and counts a refusal.
  /// @return The refusal, or nothing. A call that was started is not refused.
  std::optional<choice::placement> refusal();

  /// @brief Whether the call may queue at an upstream although its caller was not refused before.
  bool may_queue() const { return may_queue_; }

  /// @brief Records whether the upstreams that were probed for the call had a free slot.
  void record_reading(const choice::placement& placed);

  /// @brief Counts the call as sent. Resends do not count.
  void start();

 private:
  choice::placement refuse(const limits::share_request& request,
                           const limits::share_decision& decision);

  traffic_state& state_;
  const call& served_;
  std::optional<limits::share_request> request_;  ///< Empty for a call without customer.
  std::optional<base::instant> started_at_;
  bool may_queue_ = false;
};

}  // namespace catkintack::serving
