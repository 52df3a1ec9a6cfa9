#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

#include "catkintack/gateway/gateway.hpp"

namespace catkintack::gateway {
namespace {

using routing::attempt_result;

constexpr std::uint32_t max_concurrent_calls = 5;
const base::service_id service("label-press");

/// Drives a gateway with one customer and tracks its attempts in flight.
class gateway_driver {
 public:
  gateway_driver() : core_({}, base::seeded_random_hook(1), [](auto&&...) {}) {
    config::plans_list plans;
    plans.customers[base::customer_id("mercato")] = {base::customer_id("mercato"),
                                                     base::plan_id("gold"), "hash"};
    config::allowances_list allowances;
    const config::allowance entry{base::plan_id("gold"), service, 1'000'000, 1'000'000,
                                  max_concurrent_calls};
    allowances.allowances[{entry.plan, entry.service}] = entry;
    feed(lists_adopted{std::make_shared<config::lists>(plans, allowances)});
    std::vector<routing::upstream_record> upstreams(4);
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
      upstreams[index].id = base::upstream_id("u" + std::to_string(index));
      upstreams[index].service = service;
      upstreams[index].slots = 100;
    }
    feed(upstreams_listed{upstreams});
  }

  void arrive(bool idempotent) {
    call_arrived event;
    event.call = base::call_id(++last_call_);
    event.key_hash = "hash";
    event.service = service;
    event.idempotent = idempotent;
    feed(event);
  }

  void end_attempt(std::size_t chosen, attempt_result result) {
    const send_attempt attempt = in_flight_[chosen];
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(chosen));
    attempt_ended event;
    event.call = attempt.call;
    event.attempt = attempt.attempt;
    event.result = result;
    if (result == attempt_result::answered) {
      event.upstream_response = std::make_shared<delivery::upstream_response>(
          delivery::upstream_response{200, {}, "label"});
    }
    feed(event);
  }

  std::size_t in_flight() const { return in_flight_.size(); }
  std::size_t open() const { return open_; }
  std::uint64_t max_attempts_seen() const { return max_attempts_seen_; }
  bool answered_twice() const { return answered_twice_; }

 private:
  void feed(const gateway_event& event) {
    const bool arrives = std::holds_alternative<call_arrived>(event);
    open_ += arrives ? 1 : 0;
    for (const gateway_action& action : core_.handle({}, event)) {
      if (const auto* const sent = std::get_if<send_attempt>(&action)) {
        in_flight_.push_back(*sent);
        max_attempts_seen_ = std::max(max_attempts_seen_, sent->attempt.value());
      } else if (const auto* const finished = std::get_if<finish_call>(&action)) {
        answered_twice_ = answered_twice_ || ++finished_[finished->call] > 1;
        --open_;
      }
    }
  }

  gateway core_;
  std::uint64_t last_call_ = 0;
  std::vector<send_attempt> in_flight_;
  std::map<base::call_id, int> finished_;
  std::size_t open_ = 0;
  std::uint64_t max_attempts_seen_ = 0;
  bool answered_twice_ = false;
};

RC_GTEST_PROP(gateway_limits_property, an_admitted_call_is_released_exactly_once, ()) {
  gateway_driver core;
  for (int step = 0; step < 100; ++step) {
    if (core.in_flight() == 0 || *rc::gen::arbitrary<bool>()) {
      core.arrive(*rc::gen::arbitrary<bool>());
    } else {
      const auto chosen = *rc::gen::inRange<std::size_t>(0, core.in_flight());
      core.end_attempt(chosen, *rc::gen::element(attempt_result::answered, attempt_result::refused,
                                                 attempt_result::not_sent, attempt_result::broken,
                                                 attempt_result::timed_out));
    }
    RC_ASSERT(core.open() <= max_concurrent_calls);
    RC_ASSERT(core.max_attempts_seen() <= gateway_options().max_attempts);
    RC_ASSERT(!core.answered_twice());
  }
  while (core.in_flight() > 0) {
    core.end_attempt(0, attempt_result::answered);
  }
  RC_ASSERT(core.open() == 0U);
  for (std::uint32_t call = 0; call < max_concurrent_calls; ++call) {
    core.arrive(false);
  }
  RC_ASSERT(core.open() == max_concurrent_calls);
}

}  // namespace
}  // namespace catkintack::gateway
