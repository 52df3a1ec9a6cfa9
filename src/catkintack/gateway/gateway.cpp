#include "catkintack/gateway/gateway.hpp"

#include <utility>

namespace catkintack::gateway {

gateway::gateway(gateway_options options, base::random_hook random, decision_recorder recorder)
    : options_(std::move(options)),
      recorder_(std::move(recorder)),
      router_(options_.routing, std::move(random)),
      limiter_(options_.limiter),
      retry_budget_(options_.retries),
      registry_(options_.registry),
      lists_(std::make_shared<config::lists>()),
      hedges_(options_.hedge) {}

std::vector<gateway_action> gateway::handle(base::instant now, const gateway_event& event) {
  actions_.clear();
  std::visit([&](const auto& concrete) { on(now, concrete); }, event);
  return std::exchange(actions_, {});
}

void gateway::on(base::instant now, const tick& /*event*/) {
  expire_waiting_repeats(now);
  drain_queues(now);
  send_due_hedges(now);
  send_due_probe(now);
  if (limiter_.report_due(now)) {
    limits::demand_report report = limiter_.make_demand_report(now);
    if (!report.entries.empty()) {
      actions_.emplace_back(publish_demand{std::move(report)});
    }
  }
}

void gateway::on(base::instant now, const peer_demand_received& event) {
  limiter_.on_peer_report(now, event.host, event.report);
}

void gateway::on(base::instant /*now*/, const lists_adopted& event) {
  lists_ = event.lists;
  recorder_("config", "lists_adopted", {},
            {{"plans", std::to_string(lists_->plans().version.value())},
             {"allowances", std::to_string(lists_->allowances().version.value())}});
}

void gateway::on(base::instant now, const upstreams_listed& event) {
  router_.update_upstreams(now, event.upstreams);
  drain_queues(now);
}

void gateway::on(base::instant now, const host_count_changed& event) {
  limiter_.set_live_hosts(event.live_hosts);
  if (probe_budget_ && event.listed_hosts > 0) {
    probe_budget_->set_host_count(now, event.listed_hosts, event.live_hosts);
  }
}

}  // namespace catkintack::gateway
