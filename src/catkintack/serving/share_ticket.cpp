#include "catkintack/serving/share_ticket.hpp"

#include <algorithm>
#include <string>

namespace catkintack::serving {
namespace {

std::uint32_t total_slots(const traffic_state& state, const base::service_id& service) {
  std::uint32_t total = 0;
  for (const auto* const endpoint : state.upstreams.available(service, state.clock())) {
    total += endpoint->listed.record.slots;
  }
  return total;
}

}  // namespace

share_ticket::share_ticket(traffic_state& state,
                           const call& served,
                           const base::service_id& service)
    : state_(state), served_(served) {
  if (served.customer.empty()) {
    return;
  }
  const auto* const policy = served.table->find_customer(served.customer);
  request_ = {.service = service,
              .customer = served.customer,
              .customer_rank =
                  policy == nullptr ? routes::customer_policy::unranked : policy->priority_rank,
              .route_rank = served.route->priority_rank};
  state.shares.set_slots(service, total_slots(state, service));
  if (served.elapsed_before_arrival == base::duration::zero()) {
    state.shares.arrived(state.clock(), *request_);
  }
}

share_ticket::~share_ticket() {
  if (request_ && started_at_) {
    state_.shares.ended(request_->service, request_->customer, state_.clock() - *started_at_);
  }
}

std::optional<choice::placement> share_ticket::refusal() {
  if (!request_ || started_at_) {
    return std::nullopt;
  }
  const limits::share_decision decision = state_.shares.decide(state_.clock(), *request_);
  may_queue_ = decision.may_queue;
  if (decision.admitted) {
    return std::nullopt;
  }
  return refuse(*request_, decision);
}

choice::placement share_ticket::refuse(const limits::share_request& request,
                                       const limits::share_decision& decision) {
  const choice::placement_options& bounds = state_.options.placement;
  const auto until_next = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(std::min(decision.seconds_to_next, 3600.0)));
  const base::duration wait =
      std::clamp(until_next, bounds.min_retry_after, bounds.max_retry_after);
  choice::placement result;
  result.action = choice::placement_action::refuse;
  // Jitter, so that refused callers do not retry at the same time.
  result.pause = wait + base::duration(static_cast<base::duration::rep>(
                            state_.random() % static_cast<std::uint64_t>(wait.count() + 1)));
  const std::string rule(limits::to_text(decision.rule));
  state_.log.write("share_refused", {{"request", served_.id},
                                     {"customer", request.customer.value()},
                                     {"service", request.service.value()},
                                     {"rule", rule},
                                     {"share_per_s", std::to_string(decision.share)},
                                     {"in_flight", decision.in_flight},
                                     {"retry_after_us", result.pause.count()}});
  state_.metrics.add("calls_refused_by_share_total{rule=\"" + rule + "\"}");
  return result;
}

void share_ticket::record_reading(const choice::placement& placed) {
  // Without an estimate no upstream answered a probe, which says nothing about free slots.
  if (request_ && placed.expected.total > base::duration::zero()) {
    state_.shares.record_reading(state_.clock(), request_->service, placed.expected.would_queue);
  }
}

void share_ticket::start() {
  if (request_ && !started_at_) {
    started_at_ = state_.clock();
    state_.shares.started(*started_at_, *request_);
  }
}

}  // namespace catkintack::serving
