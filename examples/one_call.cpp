/// @file
/// Drives the decision core without a network: one call whose first attempt is refused and whose
/// second is answered.
#include <iostream>
#include <memory>

#include "catkintack/gateway/gateway.hpp"

namespace {

using namespace catkintack;

gateway::lists_adopted make_lists() {
  config::plans_list plans;
  plans.customers[base::customer_id("mercato")] = {base::customer_id("mercato"),
                                                   base::plan_id("gold"), "key-hash"};
  config::allowances_list allowances;
  const config::allowance entry{base::plan_id("gold"), base::service_id("label-press"), 10, 5, 5};
  allowances.allowances[{entry.plan, entry.service}] = entry;
  return {std::make_shared<const config::lists>(plans, allowances)};
}

routing::upstream_record make_upstream(const std::string& name) {
  routing::upstream_record record;
  record.id = base::upstream_id(name);
  record.service = base::service_id("label-press");
  record.slots = 2;
  return record;
}

void show(const std::vector<gateway::gateway_action>& actions) {
  for (const auto& action : actions) {
    if (const auto* const sent = std::get_if<gateway::send_attempt>(&action)) {
      std::cout << "send to " << sent->target.id.value() << "\n";
    }
    if (const auto* const finished = std::get_if<gateway::finish_call>(&action)) {
      std::cout << "finish: " << delivery::to_string(finished->response.result) << "\n";
    }
  }
}

}  // namespace

int main() {
  gateway::gateway core({}, base::seeded_random_hook(1), [](auto&&...) {});
  const base::instant now{};
  core.handle(now, make_lists());
  core.handle(now, gateway::upstreams_listed{{make_upstream("press-1"), make_upstream("press-2")}});

  gateway::call_arrived call;
  call.call = base::call_id(1);
  call.request = base::request_id("r1");
  call.key_hash = "key-hash";
  call.service = base::service_id("label-press");
  show(core.handle(now, call));

  gateway::attempt_ended refused;
  refused.call = call.call;
  refused.attempt = base::attempt_number(1);
  refused.result = routing::attempt_result::refused;
  show(core.handle(now, refused));

  gateway::attempt_ended answered = refused;
  answered.attempt = base::attempt_number(2);
  answered.result = routing::attempt_result::answered;
  answered.upstream_response = std::make_shared<const delivery::upstream_response>(
      delivery::upstream_response{200, {}, "label"});
  show(core.handle(now, answered));
  return 0;
}
