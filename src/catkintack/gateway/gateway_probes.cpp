#include "catkintack/gateway/gateway.hpp"

namespace catkintack::gateway {

void gateway::send_due_probe(base::instant now) {
  if (!probe_budget_) {
    probe_budget_.emplace(options_.probe.budget, now);
  }
  if (now < next_probe_at_) {
    return;
  }
  next_probe_at_ = now + options_.probe.interval;
  if (!probe_budget_->can_spend(now, options_.probe.cost)) {
    return;
  }
  const routing::upstream_record* const target = router_.choose_probe(now);
  if (target != nullptr && probe_budget_->try_spend(now, options_.probe.cost)) {
    recorder_("routing", "probe_sent", {}, {{"upstream", target->id.value()}});
    actions_.emplace_back(send_probe{*target, now + options_.probe.timeout});
  }
}

void gateway::on(base::instant now, const probe_ended& event) {
  if (event.load) {
    router_.on_probe_report(now, event.upstream, *event.load);
  }
}

routing::probe_cost gateway::probe_spending() const {
  return probe_budget_ ? probe_budget_->spent() : routing::probe_cost{};
}

}  // namespace catkintack::gateway
