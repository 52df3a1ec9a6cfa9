#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

#include "fleet_model.hpp"

namespace catkintack::gateway {

fleet_model::fleet_model(std::size_t hosts) : hosts_(hosts) {
  for (std::size_t index = 0; index < hosts; ++index) {
    start(index);
  }
}

void fleet_model::start(std::size_t index) {
  host& started = hosts_[index];
  started.self = {base::host_id("gw-" + std::to_string(index)), base::incarnation(++last_run_)};
  started.frozen = false;
  started.pending.clear();
  gateway_options options;
  options.self = started.self;
  options.registry = {6, 1000, 1000, 3};
  options.max_handed_over_tables = 2;
  started.core =
      std::make_unique<gateway>(options, base::seeded_random_hook(index), [](auto&&...) {});
  config::plans_list plans;
  const base::customer_id customer("mercato");
  plans.customers[customer] = {customer, base::plan_id("gold"), "hash"};
  config::allowances_list allowances;
  const config::allowance entry{base::plan_id("gold"), base::service_id("press"), 1e6, 1'000'000,
                                1'000'000};
  allowances.allowances[{entry.plan, entry.service}] = entry;
  handle(index, lists_adopted{std::make_shared<config::lists>(plans, allowances)});
  std::vector<routing::upstream_record> upstreams(3);
  for (std::size_t number = 0; number < upstreams.size(); ++number) {
    upstreams[number].id = base::upstream_id("u" + std::to_string(number));
    upstreams[number].service = base::service_id("press");
  }
  handle(index, upstreams_listed{upstreams});
}

void fleet_model::step(std::uint64_t choice) {
  constexpr std::uint64_t kinds = 32;
  const std::uint64_t kind = choice % kinds;
  const std::uint64_t rest = choice / kinds;
  const std::size_t index = rest % hosts_.size();
  if (kind < 7) {
    send_new_request(rest);
  } else if (kind < 13) {
    repeat(rest);
  } else if (kind < 20) {
    end_attempt(rest);
  } else if (kind < 25) {
    deliver_forward(rest);
  } else if (kind < 26) {
    start(index);  // Killed and restarted as a new incarnation.
  } else if (kind < 27) {
    stop(rest);
  } else if (kind < 28) {
    hosts_[index].frozen = true;
  } else if (kind < 30) {
    unfreeze(index);
  } else {
    advance();
  }
}

void fleet_model::send_new_request(std::uint64_t choice) {
  const host& owner = hosts_[choice % hosts_.size()];
  const std::string token = delivery::make_token(owner.self, owner.core->registry().newest_epoch());
  ids_.emplace_back(token + "." + std::to_string(ids_.size()));
  arrive((choice / hosts_.size()) % hosts_.size(), ids_.back(), false, nullptr);
}

void fleet_model::repeat(std::uint64_t choice) {
  if (ids_.empty()) {
    return;
  }
  constexpr std::size_t recent = 12;
  const std::size_t window = std::min(recent, ids_.size());
  const base::request_id id = ids_[ids_.size() - 1 - (choice / hosts_.size()) % window];
  arrive(choice % hosts_.size(), id, false, nullptr);
}

void fleet_model::arrive(std::size_t index,
                         const base::request_id& id,
                         bool forwarded,
                         const forwarded_call* origin) {
  call_arrived event;
  event.call = base::call_id(++last_call_);
  event.request = id;
  event.key_hash = "hash";
  event.service = base::service_id("press");
  event.forwarded = forwarded;
  calls_[{hosts_[index].self, event.call}] = {id, forwarded, origin ? *origin : forwarded_call{}};
  feed(index, event);
}

void fleet_model::end_attempt(std::uint64_t choice) {
  using routing::attempt_result;
  if (open_attempts_.empty()) {
    return;
  }
  const std::size_t position = (choice / 8) % open_attempts_.size();
  const open_attempt ended = open_attempts_[position];
  open_attempts_.erase(open_attempts_.begin() + static_cast<std::ptrdiff_t>(position));
  static constexpr attempt_result results[] = {attempt_result::answered, attempt_result::answered,
                                               attempt_result::answered, attempt_result::refused,
                                               attempt_result::not_sent, attempt_result::broken,
                                               attempt_result::broken,   attempt_result::timed_out};
  attempt_ended event;
  event.call = ended.call;
  event.attempt = ended.attempt;
  event.result = results[choice % std::size(results)];
  const bool lost_before_run = choice % std::size(results) == 6;
  if (!routing::certainly_not_run(event.result) && !lost_before_run && ++runs_[ended.request] > 1) {
    violation_ = "request " + ended.request.value() + " ran twice";
  }
  if (event.result == attempt_result::answered) {
    event.upstream_response = std::make_shared<const delivery::upstream_response>(
        delivery::upstream_response{200, {}, ended.request.value()});
  }
  if (hosts_[ended.host].self == ended.sender) {
    feed(ended.host, event);
  }
}

void fleet_model::deliver_forward(std::uint64_t choice) {
  if (forwards_.empty()) {
    return;
  }
  const std::size_t position = (choice / 8) % forwards_.size();
  const forwarded_call sent = forwards_[position];
  const bool delivered_again_later = choice % 8 == 0;
  if (!delivered_again_later) {
    forwards_.erase(forwards_.begin() + static_cast<std::ptrdiff_t>(position));
  }
  const bool lost = choice % 8 == 1;
  const bool given_up = choice % 8 == 2;  // The sender times out although the message arrives.
  if ((lost || given_up) && hosts_[sent.sender].self == sent.sender_incarnation) {
    feed(sent.sender, forward_ended{sent.call, std::nullopt});
  }
  for (std::size_t index = 0; !lost && index < hosts_.size(); ++index) {
    if (hosts_[index].self.host == sent.to) {
      arrive(index, sent.event.request, true, &sent);
    }
  }
}

void fleet_model::stop(std::uint64_t choice) {
  const std::size_t leaving = choice % hosts_.size();
  const std::size_t successor = (leaving + 1) % hosts_.size();
  host& predecessor = hosts_[leaving];
  if (predecessor.frozen || hosts_[successor].frozen) {
    return;
  }
  handle(leaving, stop_begun{});
  const delivery::request_registry& registry = predecessor.core->registry();
  delivery::hand_over_part part{predecessor.self, registry.oldest_epoch(), true,
                                registry.entries()};
  const bool cut_short = (choice / hosts_.size()) % 4 == 0;
  if (cut_short) {
    part.entries.resize(part.entries.size() / 2);
    part.last = false;
  }
  handle(successor, handed_over{part});
  announce_successor(predecessor.self, successor, choice);
  // Requests may still reach the stopped incarnation until another step restarts its host.
}

void fleet_model::announce_successor(const delivery::host_incarnation& predecessor,
                                     std::size_t successor,
                                     std::uint64_t choice) {
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    const bool reached = ((choice >> (8 + index)) & 1U) != 0;
    if (reached) {
      feed(index, successor_named{predecessor, hosts_[successor].self.host});
    }
  }
}

void fleet_model::feed(std::size_t index, const gateway_event& event) {
  if (hosts_[index].frozen) {
    hosts_[index].pending.push_back(event);
  } else {
    handle(index, event);
  }
}

void fleet_model::handle(std::size_t index, const gateway_event& event) {
  const auto* const forwarded = std::get_if<forward_ended>(&event);
  relaying_response_ = forwarded != nullptr && forwarded->response.has_value();
  for (const gateway_action& action : hosts_[index].core->handle(now_, event)) {
    std::visit([this, index](const auto& concrete) { on(index, concrete); }, action);
  }
}

void fleet_model::unfreeze(std::size_t index) {
  hosts_[index].frozen = false;
  const auto pending = std::exchange(hosts_[index].pending, {});
  for (const gateway_event& event : pending) {
    handle(index, event);
  }
}

void fleet_model::advance() {
  now_ += std::chrono::seconds(2);
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    if (!hosts_[index].frozen) {
      handle(index, tick{});
    }
  }
}

void fleet_model::on(std::size_t index, const send_attempt& action) {
  const auto found = calls_.find({hosts_[index].self, action.call});
  open_attempts_.push_back(
      {index, hosts_[index].self, action.call, action.attempt, found->second.request});
}

void fleet_model::on(std::size_t index, const forward_call& action) {
  const open_call& sent = calls_.at({hosts_[index].self, action.call});
  call_arrived event;
  event.request = sent.request;
  forwards_.push_back({index, hosts_[index].self, action.call, action.host, event});
}

void fleet_model::on(std::size_t index, const finish_call& action) {
  const auto found = calls_.find({hosts_[index].self, action.call});
  if (found == calls_.end()) {
    violation_ = "a call was finished twice";
    return;
  }
  const open_call finished = found->second;
  calls_.erase(found);
  check(finished.request, action.response, !relaying_response_);
  if (!finished.forwarded) {
    return;
  }
  const forwarded_call& origin = finished.origin;
  if (hosts_[origin.sender].self == origin.sender_incarnation) {
    const bool was_forward = relaying_response_;
    feed(origin.sender, forward_ended{origin.call, action.response});
    relaying_response_ = was_forward;
  }
}

void fleet_model::on(std::size_t /*index*/, const cancel_attempt& /*action*/) {}

void fleet_model::on(std::size_t /*index*/, const publish_demand& /*action*/) {}

void fleet_model::on(std::size_t /*index*/, const send_probe& /*action*/) {}

void fleet_model::check(const base::request_id& id,
                        const delivery::final_response& response,
                        bool decided_here) {
  if (response.result == delivery::outcome::answer &&
      response.upstream_response->body != id.value()) {
    violation_ =
        "request " + id.value() + " received the response to " + response.upstream_response->body;
  }
  if (response.result != delivery::outcome::not_run || !decided_here) {
    return;
  }
  const bool may_run = std::any_of(open_attempts_.begin(), open_attempts_.end(),
                                   [&id](const open_attempt& open) { return open.request == id; });
  if (runs_.contains(id) || may_run) {
    violation_ = "request " + id.value() + " ran although its caller was told not_run";
  }
}

namespace {

constexpr std::size_t steps = 400;

RC_GTEST_PROP(gateway_delivery, runs_each_request_at_most_once_with_correct_outcome, ()) {
  const auto choices = *rc::gen::container<std::vector<std::uint64_t>>(
      steps, rc::gen::resize(1'000, rc::gen::arbitrary<std::uint64_t>()));
  fleet_model fleet(3);
  for (const std::uint64_t choice : choices) {
    fleet.step(choice);
    RC_ASSERT(fleet.violation() == "");
  }
}

TEST(gateway_delivery,
     runs_each_request_at_most_once_with_correct_outcome_over_many_interleavings) {
  constexpr std::uint64_t interleavings = 5'000;
  std::size_t requests_run = 0;
  for (std::uint64_t seed = 0; seed < interleavings; ++seed) {
    const base::random_hook random = base::seeded_random_hook(seed);
    fleet_model fleet(2 + seed % 4);
    for (std::size_t step = 0; step < steps; ++step) {
      fleet.step(random());
      ASSERT_EQ(fleet.violation(), "") << "seed " << seed << " step " << step;
    }
    requests_run += fleet.requests_run();
  }
  std::cout << interleavings << " interleavings of " << steps << " steps, " << requests_run
            << " requests ran\n";
}

}  // namespace
}  // namespace catkintack::gateway
