#include "fleet.hpp"

#include <algorithm>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include "fleet_endpoint.hpp"
#include "fleet_faults.hpp"

namespace catkintack::bench {
namespace {

using base::duration;
using base::instant;
using routing::attempt_result;

constexpr duration tick_interval = std::chrono::milliseconds(5);
constexpr duration error_service_time = std::chrono::microseconds(100);
constexpr duration cold_start_duration = std::chrono::milliseconds(500);
constexpr duration list_propagation_delay = std::chrono::seconds(1);
constexpr int status_ok = 200;
constexpr int status_error = 500;

struct scheduled_event {
  instant time{};
  std::uint64_t sequence = 0;
  std::function<void()> run;
  bool operator<(const scheduled_event& other) const {
    return std::pair(other.time, other.sequence) < std::pair(time, sequence);
  }
};

struct call_record {
  std::size_t host = 0;
  instant arrived{};
  duration work{};
  bool finished = false;
};

class fleet_simulation {
 public:
  fleet_simulation(const fleet_options& options, const policy_factory& make)
      : options_(options), random_(options.seed) {
    const std::size_t regions = options.injected_fault == fault::region_cut ? 2 : 1;
    endpoints_.resize(options.endpoints * regions);
    for (std::size_t index = 0; index < endpoints_.size(); ++index) {
      endpoints_[index].slots = options.slots;
      endpoints_[index].remote = index >= options.endpoints;
    }
    interarrival_ = std::exponential_distribution<double>(calls_per_second(options));
    run_length_ = run_length(options);
    for (std::uint32_t host = 0; host < options.hosts; ++host) {
      hosts_.push_back(make(options.seed * 1000 + host));
    }
  }

  fleet_result run() {
    now_ = start_time;
    plan_faults();
    publish_upstreams();
    schedule(now_, [this] { arrive(); });
    schedule(now_, [this] { tick(); });
    while (!schedule_.empty()) {
      const scheduled_event next = schedule_.top();
      schedule_.pop();
      now_ = next.time;
      next.run();
    }
    std::sort(result_.latencies.begin(), result_.latencies.end());
    return std::move(result_);
  }

 private:
  void schedule(instant time, std::function<void()> callback) {
    schedule_.push({time, ++sequence_, std::move(callback)});
  }

  void plan_faults() {
    const instant begin = start_time + run_length_ / 3;
    const instant end = start_time + 2 * run_length_ / 3;
    const std::size_t third = endpoints_.size() / 3;
    switch (options_.injected_fault) {
      case fault::steady:
        return;
      case fault::slow:
        plan_slow_windows(endpoints_, random_, start_time, run_length_);
        return;
      case fault::fail_fast:
        schedule(begin, [this] { endpoints_[0].fails = true; });
        schedule(end, [this] { endpoints_[0].fails = false; });
        return;
      case fault::draining:
        schedule(begin, [this, third] { drain(third, true); });
        schedule(begin + list_propagation_delay, [this] { publish_upstreams(); });
        schedule(end, [this, third] { drain(third, false); });
        schedule(end + list_propagation_delay, [this] { publish_upstreams(); });
        return;
      case fault::cold_start:
        for (std::size_t index = 0; index < cold_endpoints; ++index) {
          endpoints_[index].slow_windows.push_back({begin, begin + cold_start_duration});
        }
        unlisted_ = cold_endpoints;
        schedule(begin, [this] { unlisted_ = 0, publish_upstreams(); });
        return;
      case fault::region_cut:
        schedule(begin, [this] { set_region_unreachable(true); });
        schedule(end, [this] { set_region_unreachable(false); });
        return;
    }
  }

  void drain(std::size_t count, bool leaving) {
    for (std::size_t index = 0; index < count; ++index) {
      endpoints_[index].leaving = leaving;
    }
  }

  void set_region_unreachable(bool unreachable) {
    for (std::size_t index = 0; index < options_.endpoints; ++index) {
      endpoints_[index].unreachable = unreachable;
    }
  }

  void publish_upstreams() {
    gateway::upstreams_listed event;
    for (std::size_t index = unlisted_; index < endpoints_.size(); ++index) {
      routing::upstream_record record;
      record.id = base::upstream_id("e" + std::to_string(index));
      record.service = base::service_id("scan-service");
      record.region = base::region_id(endpoints_[index].remote ? "north" : "south");
      record.slots = options_.slots;
      record.leaving = endpoints_[index].leaving;
      event.upstreams.push_back(std::move(record));
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      dispatch(host, event);
    }
  }

  void tick() {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      dispatch(host, gateway::tick{});
    }
    if (now_ < start_time + run_length_ || open_calls_ > 0) {
      schedule(now_ + tick_interval, [this] { tick(); });
    }
  }

  void arrive() {
    call_record record;
    record.host = random_() % hosts_.size();
    record.arrived = now_;
    record.work = draw_work();
    gateway::call_arrived event;
    event.call = base::call_id(++result_.calls);
    event.key_hash = "hash";
    event.service = base::service_id("scan-service");
    event.idempotent = std::uniform_real_distribution<>()(random_) < options_.idempotent_share;
    calls_.emplace(result_.calls, record);
    ++open_calls_;
    dispatch(record.host, event);
    if (result_.calls < options_.requests) {
      schedule(now_ + duration(static_cast<std::int64_t>(interarrival_(random_) * 1e6)),
               [this] { arrive(); });
    }
  }

  duration draw_work() {
    std::exponential_distribution<double> work(1.0 /
                                               static_cast<double>(options_.mean_work.count()));
    return duration(1 + static_cast<std::int64_t>(work(random_)));
  }

  void dispatch(std::size_t host, const gateway::gateway_event& event) {
    for (const gateway::gateway_action& action : hosts_[host](now_, event)) {
      std::visit([&](const auto& concrete) { apply(concrete); }, action);
    }
  }

  template <class Other>
  void apply(const Other&) {}

  void apply(const gateway::send_attempt& action) {
    const std::size_t target = std::stoul(action.target.id.value().substr(1));
    queued_attempt attempt{action.call.value(), action.attempt.value(),
                           calls_.at(action.call.value()).work};
    if (options_.work_per_attempt && attempt.number > 1) {
      attempt.work = draw_work();
    }
    ++result_.attempts;
    result_.remote += endpoints_[target].remote ? 1 : 0;
    targets_[attempt_key(attempt)] = target;
    schedule(now_ + latency_to(target), [this, target, attempt] { deliver(target, attempt); });
  }

  void apply(const gateway::cancel_attempt& action) {
    const queued_attempt attempt{action.call.value(), action.attempt.value(), {}};
    const std::size_t target = targets_.at(attempt_key(attempt));
    ++result_.cancelled;
    schedule(now_ + latency_to(target),
             [this, target, attempt] { cancel_queued(target, attempt); });
    schedule(now_,
             [this, attempt] { end_attempt(attempt, attempt_result::cancelled, 0, std::nullopt); });
  }

  void apply(const gateway::finish_call& action) {
    call_record& record = calls_.at(action.call.value());
    record.finished = true;
    --open_calls_;
    if (action.response.result != delivery::outcome::answer) {
      ++result_.shed;
    } else if (action.response.status != status_ok) {
      ++result_.errors;
    } else {
      result_.latencies.push_back(now_ - record.arrived);
    }
  }

  static std::uint64_t attempt_key(const queued_attempt& attempt) {
    return attempt.call * 64 + attempt.number;
  }
  duration latency_to(std::size_t target) const {
    return endpoints_[target].remote ? options_.remote_one_way_latency : options_.one_way_latency;
  }

  void deliver(std::size_t target, const queued_attempt& attempt) {
    fleet_endpoint& endpoint = endpoints_[target];
    if (endpoint.unreachable) {
      schedule(now_ + latency_to(target),
               [this, attempt] { end_attempt(attempt, attempt_result::not_sent, 0, {}); });
      return;
    }
    if (endpoint.fails) {
      schedule(now_ + error_service_time,
               [this, target, attempt] { reply(target, attempt, status_error); });
      return;
    }
    endpoint.queue.push_back(attempt);
    start_work(target);
  }

  void start_work(std::size_t target) {
    fleet_endpoint& endpoint = endpoints_[target];
    while (endpoint.running < endpoint.slots && !endpoint.queue.empty()) {
      const queued_attempt attempt = endpoint.queue.front();
      endpoint.queue.pop_front();
      ++endpoint.running;
      schedule(endpoint.completion_time(now_, attempt.work), [this, target, attempt] {
        --endpoints_[target].running;
        start_work(target);
        reply(target, attempt, status_ok);
      });
    }
    endpoint.record_load(now_);
  }

  void reply(std::size_t target, const queued_attempt& attempt, int status) {
    const auto report = endpoints_[target].load_at(now_ - options_.report_delay);
    schedule(now_ + latency_to(target), [this, attempt, status, report] {
      end_attempt(attempt, attempt_result::answered, status, report);
    });
  }

  void cancel_queued(std::size_t target, const queued_attempt& attempt) {
    auto& queue = endpoints_[target].queue;
    queue.erase(std::remove(queue.begin(), queue.end(), attempt), queue.end());
    endpoints_[target].record_load(now_);
  }

  void end_attempt(const queued_attempt& attempt,
                   attempt_result result,
                   int status,
                   const std::optional<routing::load_report>& load) {
    if (targets_.erase(attempt_key(attempt)) == 0) {
      return;  // The end of this attempt has already been reported.
    }
    gateway::attempt_ended event;
    event.call = base::call_id(attempt.call);
    event.attempt = base::attempt_number(attempt.number);
    event.result = result;
    if (result == attempt_result::answered) {
      event.upstream_response = std::make_shared<delivery::upstream_response>(
          delivery::upstream_response{status, {}, {}});
    }
    event.load = load;
    dispatch(calls_.at(attempt.call).host, event);
  }

  fleet_options options_;
  std::mt19937_64 random_;
  std::exponential_distribution<double> interarrival_;
  duration run_length_{};
  instant now_{};
  std::vector<fleet_endpoint> endpoints_;
  std::vector<host_policy> hosts_;
  std::size_t unlisted_ = 0;
  std::priority_queue<scheduled_event> schedule_;
  std::uint64_t sequence_ = 0;
  std::uint64_t open_calls_ = 0;
  std::unordered_map<std::uint64_t, call_record> calls_;
  std::unordered_map<std::uint64_t, std::size_t> targets_;
  fleet_result result_;
};

}  // namespace

fleet_result run_fleet(const fleet_options& options, const policy_factory& make) {
  return fleet_simulation(options, make).run();
}

}  // namespace catkintack::bench
