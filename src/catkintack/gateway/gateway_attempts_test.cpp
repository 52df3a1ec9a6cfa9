#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "catkintack/gateway/gateway.hpp"

namespace catkintack::gateway {
namespace {

using routing::attempt_result;
using std::chrono::milliseconds;

const base::service_id service("label-press");
constexpr std::size_t upstreams = 3;

/// Drives a core and checks the actions that it requests.
class core_driver {
 public:
  explicit core_driver(const gateway_options& options)
      : core_(options, base::seeded_random_hook(1), [](auto&&...) {}) {
    config::plans_list plans;
    const base::customer_id customer("mercato");
    plans.customers[customer] = {customer, base::plan_id("gold"), "hash"};
    config::allowances_list allowances;
    constexpr std::uint32_t high_limit = 1'000'000;
    const config::allowance entry{base::plan_id("gold"), service, high_limit, high_limit,
                                  high_limit};
    allowances.allowances[{entry.plan, entry.service}] = entry;
    feed(lists_adopted{std::make_shared<config::lists>(plans, allowances)});
    upstreams_listed listed;
    for (std::size_t index = 0; index < upstreams; ++index) {
      routing::upstream_record record;
      record.id = base::upstream_id("press-" + std::to_string(index));
      record.service = service;
      listed.upstreams.push_back(record);
    }
    feed(listed);
  }

  void advance_clock(base::duration time) { now_ += time; }

  void call(bool idempotent, base::duration time_left) {
    call_arrived event;
    event.call = base::call_id(++calls_);
    event.key_hash = "hash";
    event.service = service;
    event.idempotent = idempotent;
    event.time_left = time_left;
    idempotent_[calls_] = idempotent;
    feed(event);
  }

  void end_attempt(std::size_t index, attempt_result result) {
    if (open_.empty()) {
      return;
    }
    const auto position = open_.begin() + static_cast<std::ptrdiff_t>(index % open_.size());
    const send_attempt attempt = *position;
    open_.erase(position);
    attempt_ended event;
    event.call = attempt.call;
    event.attempt = attempt.attempt;
    event.result = result;
    if (result == attempt_result::answered) {
      event.upstream_response = std::make_shared<delivery::upstream_response>(
          delivery::upstream_response{200, {}, "label"});
    }
    if (!certainly_not_run(result)) {
      may_have_run_.insert(attempt.call.value());
    }
    feed(event);
  }

  void feed(const gateway_event& event) {
    for (const gateway_action& action : core_.handle(now_, event)) {
      std::visit([this](const auto& concrete) { check(concrete); }, action);
    }
  }

  std::uint64_t calls() const { return calls_; }
  std::uint64_t attempts() const { return attempts_; }
  std::uint64_t hedges() const { return hedges_; }
  std::size_t finished() const { return finished_.size(); }
  bool idle() const { return open_.empty(); }

 private:
  template <class Other>
  void check(const Other&) {}

  void check(const send_attempt& action) {
    const std::uint64_t call = action.call.value();
    const bool second_open =
        std::any_of(open_.begin(), open_.end(),
                    [&action](const send_attempt& other) { return other.call == action.call; });
    RC_ASSERT(!finished_.contains(call));
    RC_ASSERT(action.attempt.value() <= 3);
    RC_ASSERT(now_ < action.deadline);
    RC_ASSERT(idempotent_.at(call) || (!second_open && !may_have_run_.contains(call)));
    hedges_ += second_open ? 1 : 0;
    ++attempts_;
    open_.push_back(action);
  }

  void check(const finish_call& action) {
    const std::uint64_t call = action.call.value();
    RC_ASSERT(finished_.insert(call).second);
    const bool may_have_run = may_have_run_.contains(call);
    RC_ASSERT(action.response.result != delivery::outcome::not_run || !may_have_run);
    RC_ASSERT(action.response.result != delivery::outcome::not_run || action.response.retry_after);
  }

  base::instant now_{std::chrono::seconds(1)};
  gateway core_;
  std::uint64_t calls_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t hedges_ = 0;
  std::map<std::uint64_t, bool> idempotent_;
  std::set<std::uint64_t> may_have_run_;
  std::set<std::uint64_t> finished_;
  std::vector<send_attempt> open_;
};

RC_GTEST_PROP(gateway_attempts, are_bounded_and_outcomes_are_correct, ()) {
  gateway_options options;
  options.queue.capacity = 3;
  core_driver core(options);
  const auto steps = *rc::gen::inRange(0, 400);
  for (int step = 0; step < steps; ++step) {
    core.advance_clock(milliseconds(*rc::gen::inRange(0, 20)));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        core.call(*rc::gen::arbitrary<bool>(), milliseconds(*rc::gen::inRange(1, 300)));
        break;
      case 2:
        core.feed(tick{});
        break;
      case 3:
        core.end_attempt(*rc::gen::inRange<std::size_t>(0, 100),
                         *rc::gen::element(attempt_result::refused, attempt_result::not_sent,
                                           attempt_result::broken, attempt_result::timed_out));
        break;
      default:
        core.end_attempt(*rc::gen::inRange<std::size_t>(0, 100), attempt_result::answered);
    }
    RC_ASSERT(core.hedges() * 20 <= core.calls());
  }
  core.advance_clock(std::chrono::seconds(1));
  while (!core.idle()) {
    core.end_attempt(0, attempt_result::timed_out);
  }
  core.feed(tick{});
  RC_ASSERT(core.finished() == core.calls());
}

}  // namespace
}  // namespace catkintack::gateway
