#include "catkintack/limits/retry_budget.hpp"

#include <algorithm>

namespace catkintack::limits {
namespace {

constexpr double newest_weight = 0.1;

}  // namespace

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

retry_budget::service_state& retry_budget::find_or_add(const base::service_id& service) {
  const auto [found, fresh] = services_.try_emplace(service);
  if (fresh) {
    found->second.tokens = options_.burst;
  }
  return found->second;
}

std::uint32_t retry_budget::start(const base::service_id& service,
                                  std::optional<std::uint32_t> given) {
  service_state& state = find_or_add(service);
  state.tokens = std::min(options_.burst, state.tokens + options_.ratio);
  return std::min(given.value_or(options_.per_call), options_.per_call);
}

std::uint32_t retry_budget::below(std::uint32_t call_budget) {
  return call_budget == 0 ? 0 : call_budget - 1;
}

bool retry_budget::may_retry(const base::service_id& service,
                             failure_kind failure,
                             base::duration time_left,
                             std::uint32_t& call_budget) {
  service_state& state = find_or_add(service);
  if (base::to_seconds(time_left) <= state.usual_seconds) {
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
    // The levels below were given all but the one extra attempt that is spent now.
    call_budget = 0;
  }
  return true;
}

void retry_budget::on_answer(const base::service_id& service, base::duration elapsed) {
  service_state& state = find_or_add(service);
  const double seconds = base::to_seconds(elapsed);
  const bool first = state.usual_seconds <= 0;
  state.usual_seconds += (first ? 1 : newest_weight) * (seconds - state.usual_seconds);
}

}  // namespace catkintack::limits
