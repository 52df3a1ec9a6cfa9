#include "catkintack/limits/retry_budget.hpp"

#include <algorithm>

namespace catkintack::limits {
namespace {

constexpr double smoothing_factor = 0.1;

}  // namespace

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

retry_budget::service_state& retry_budget::find_or_add(const base::service_id& service) {
  const auto [found, inserted] = services_.try_emplace(service);
  if (inserted) {
    found->second.tokens = options_.burst;
  }
  return found->second;
}

std::uint32_t retry_budget::add_call(const base::service_id& service,
                                     std::optional<std::uint32_t> caller_budget) {
  service_state& state = find_or_add(service);
  state.tokens = std::min(options_.burst, state.tokens + options_.ratio);
  return std::min(caller_budget.value_or(options_.max_extra_attempts), options_.max_extra_attempts);
}

std::uint32_t retry_budget::downstream_budget(std::uint32_t call_budget) {
  return call_budget == 0 ? 0 : call_budget - 1;
}

bool retry_budget::try_spend(const base::service_id& service,
                             failure_kind failure,
                             base::duration time_left,
                             std::uint32_t& call_budget) {
  service_state& state = find_or_add(service);
  if (base::to_seconds(time_left) <= state.smoothed_response_seconds) {
    return false;
  }
  if (failure == failure_kind::not_sent) {
    return true;
  }
  const bool may_have_run = failure == failure_kind::may_have_run;
  if (state.tokens < 1 || (may_have_run && call_budget == 0)) {
    return false;
  }
  state.tokens -= 1;
  if (may_have_run) {
    // The lower levels received all of the budget except for the extra attempt that is spent here.
    call_budget = 0;
  }
  return true;
}

void retry_budget::record_response_time(const base::service_id& service, base::duration elapsed) {
  service_state& state = find_or_add(service);
  const double seconds = base::to_seconds(elapsed);
  const bool first = state.smoothed_response_seconds <= 0;
  state.smoothed_response_seconds +=
      (first ? 1 : smoothing_factor) * (seconds - state.smoothed_response_seconds);
}

}  // namespace catkintack::limits
