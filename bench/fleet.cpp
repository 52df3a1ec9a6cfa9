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
constexpr duration error_work = std::chrono::microseconds(100);
constexpr duration cold_length = std::chrono::milliseconds(500);
constexpr duration list_lag = std::chrono::seconds(1);
constexpr int status_ok = 200;
constexpr int status_error = 500;

struct timed_step {
  instant time{};
  std::uint64_t sequence = 0;
  std::function<void()> run;
  bool operator<(const timed_step& other) const {
    return std::pair(other.time, other.sequence) < std::pair(time, sequence);
  }
};

struct call_record {
  std::size_t host = 0;
  instant arrived{};
  duration work{};
  bool finished = false;
};

class fleet {
 public:
  fleet(const fleet_options& options, const policy_factory& make)
      : options_(options), random_(options.seed) {
    const std::size_t regions = options.what == fault::region_cut ? 2 : 1;
    endpoints_.resize(options.endpoints * regions);
    for (std::size_t index = 0; index < endpoints_.size(); ++index) {
      endpoints_[index].slots = options.slots;
      endpoints_[index].remote = index >= options.endpoints;
    }
    gap_ = std::exponential_distribution<double>(calls_per_second(options));
    length_ = run_length(options);
    for (std::uint32_t host = 0; host < options.hosts; ++host) {
      hosts_.push_back(make(options.seed * 1000 + host));
    }
  }

  fleet_result run() {
    now_ = start_time;
    plan_faults();
    list_upstreams();
    at(now_, [this] { arrive(); });
    at(now_, [this] { tick(); });
    while (!steps_.empty()) {
      const timed_step step = steps_.top();
      steps_.pop();
      now_ = step.time;
      step.run();
    }
    std::sort(result_.latencies.begin(), result_.latencies.end());
    return std::move(result_);
  }

 private:
  void at(instant time, std::function<void()> step) {
    steps_.push({time, ++sequence_, std::move(step)});
  }

  void plan_faults() {
    const instant begin = start_time + length_ / 3;
    const instant end = start_time + 2 * length_ / 3;
    const std::size_t third = endpoints_.size() / 3;
    switch (options_.what) {
      case fault::steady:
        return;
      case fault::slow:
        plan_slow_spans(endpoints_, random_, start_time, length_);
        return;
      case fault::fail_fast:
        at(begin, [this] { endpoints_[0].fails = true; });
        at(end, [this] { endpoints_[0].fails = false; });
        return;
      case fault::draining:
        at(begin, [this, third] { drain(third, true); });
        at(begin + list_lag, [this] { list_upstreams(); });
        at(end, [this, third] { drain(third, false); });
        at(end + list_lag, [this] { list_upstreams(); });
        return;
      case fault::cold_start:
        for (std::size_t index = 0; index < cold_endpoints; ++index) {
          endpoints_[index].slow.push_back({begin, begin + cold_length});
        }
        unlisted_ = cold_endpoints;
        at(begin, [this] { unlisted_ = 0, list_upstreams(); });
        return;
      case fault::region_cut:
        at(begin, [this] { cut(true); });
        at(end, [this] { cut(false); });
        return;
    }
  }

  void drain(std::size_t count, bool leaving) {
    for (std::size_t index = 0; index < count; ++index) {
      endpoints_[index].leaving = leaving;
    }
  }

  void cut(bool unreachable) {
    for (std::size_t index = 0; index < options_.endpoints; ++index) {
      endpoints_[index].unreachable = unreachable;
    }
  }

  void list_upstreams() {
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
      feed(host, event);
    }
  }

  void tick() {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      feed(host, gateway::tick{});
    }
    if (now_ < start_time + length_ || open_ > 0) {
      at(now_ + tick_interval, [this] { tick(); });
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
    ++open_;
    feed(record.host, event);
    if (result_.calls < options_.requests) {
      at(now_ + duration(static_cast<std::int64_t>(gap_(random_) * 1e6)), [this] { arrive(); });
    }
  }

  duration draw_work() {
    std::exponential_distribution<double> work(1.0 /
                                               static_cast<double>(options_.mean_work.count()));
    return duration(1 + static_cast<std::int64_t>(work(random_)));
  }

  void feed(std::size_t host, const gateway::gateway_event& event) {
    for (const gateway::gateway_action& action : hosts_[host](now_, event)) {
      std::visit([&](const auto& concrete) { act(concrete); }, action);
    }
  }

  template <class Other>
  void act(const Other&) {}

  void act(const gateway::send_attempt& action) {
    const std::size_t target = std::stoul(action.target.id.value().substr(1));
    job work{action.call.value(), action.attempt.value(), calls_.at(action.call.value()).work};
    if (options_.work_per_attempt && work.attempt > 1) {
      work.work = draw_work();
    }
    ++result_.attempts;
    result_.remote += endpoints_[target].remote ? 1 : 0;
    targets_[key(work)] = target;
    at(now_ + way(target), [this, target, work] { reach(target, work); });
  }

  void act(const gateway::cancel_attempt& action) {
    const job work{action.call.value(), action.attempt.value(), {}};
    const std::size_t target = targets_.at(key(work));
    ++result_.cancelled;
    at(now_ + way(target), [this, target, work] { drop(target, work); });
    at(now_, [this, work] { end(work, attempt_result::cancelled, 0, std::nullopt); });
  }

  void act(const gateway::finish_call& action) {
    call_record& record = calls_.at(action.call.value());
    record.finished = true;
    --open_;
    if (action.response.result != delivery::outcome::answer) {
      ++result_.shed;
    } else if (action.response.status != status_ok) {
      ++result_.errors;
    } else {
      result_.latencies.push_back(now_ - record.arrived);
    }
  }

  static std::uint64_t key(const job& work) { return work.call * 64 + work.attempt; }
  duration way(std::size_t target) const {
    return endpoints_[target].remote ? options_.remote_one_way : options_.one_way;
  }

  void reach(std::size_t target, const job& work) {
    fleet_endpoint& endpoint = endpoints_[target];
    if (endpoint.unreachable) {
      at(now_ + way(target), [this, work] { end(work, attempt_result::not_sent, 0, {}); });
      return;
    }
    if (endpoint.fails) {
      at(now_ + error_work, [this, target, work] { reply(target, work, status_error); });
      return;
    }
    endpoint.queue.push_back(work);
    start_work(target);
  }

  void start_work(std::size_t target) {
    fleet_endpoint& endpoint = endpoints_[target];
    while (endpoint.running < endpoint.slots && !endpoint.queue.empty()) {
      const job work = endpoint.queue.front();
      endpoint.queue.pop_front();
      ++endpoint.running;
      at(endpoint.end_of(now_, work.work), [this, target, work] {
        --endpoints_[target].running;
        start_work(target);
        reply(target, work, status_ok);
      });
    }
    endpoint.remember(now_);
  }

  void reply(std::size_t target, const job& work, int status) {
    const auto report = endpoints_[target].report(now_ - options_.report_delay);
    at(now_ + way(target),
       [this, work, status, report] { end(work, attempt_result::answered, status, report); });
  }

  void drop(std::size_t target, const job& work) {
    auto& queue = endpoints_[target].queue;
    queue.erase(std::remove(queue.begin(), queue.end(), work), queue.end());
    endpoints_[target].remember(now_);
  }

  void end(const job& work,
           attempt_result result,
           int status,
           const std::optional<routing::load_report>& load) {
    if (targets_.erase(key(work)) == 0) {
      return;  // The end was reported before.
    }
    gateway::attempt_ended event;
    event.call = base::call_id(work.call);
    event.attempt = base::attempt_number(work.attempt);
    event.result = result;
    if (result == attempt_result::answered) {
      event.upstream_response = std::make_shared<delivery::upstream_response>(
          delivery::upstream_response{status, {}, {}});
    }
    event.load = load;
    feed(calls_.at(work.call).host, event);
  }

  fleet_options options_;
  std::mt19937_64 random_;
  std::exponential_distribution<double> gap_;
  duration length_{};
  instant now_{};
  std::vector<fleet_endpoint> endpoints_;
  std::vector<host_policy> hosts_;
  std::size_t unlisted_ = 0;
  std::priority_queue<timed_step> steps_;
  std::uint64_t sequence_ = 0;
  std::uint64_t open_ = 0;
  std::unordered_map<std::uint64_t, call_record> calls_;
  std::unordered_map<std::uint64_t, std::size_t> targets_;
  fleet_result result_;
};

}  // namespace

fleet_result run_fleet(const fleet_options& options, const policy_factory& make) {
  return fleet(options, make).run();
}

}  // namespace catkintack::bench
