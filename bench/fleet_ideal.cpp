#include <algorithm>
#include <deque>
#include <queue>
#include <random>

#include "fleet.hpp"
#include "fleet_endpoint.hpp"
#include "fleet_faults.hpp"

namespace catkintack::bench {
namespace {

using base::duration;
using base::instant;

struct waiting_call {
  instant arrived{};
  duration work{};
};

struct busy_slot {
  instant end{};
  std::size_t endpoint = 0;
  bool operator<(const busy_slot& other) const { return other.end < end; }
};

class single_queue {
 public:
  explicit single_queue(const fleet_options& options) : options_(options), random_(options.seed) {
    endpoints_.resize(options.endpoints);
    for (fleet_endpoint& endpoint : endpoints_) {
      endpoint.slots = options.slots;
    }
    if (options.injected_fault == fault::slow) {
      plan_slow_windows(endpoints_, random_, start_time, run_length(options));
    }
  }

  fleet_result run() {
    std::exponential_distribution<double> interarrival(calls_per_second(options_));
    std::exponential_distribution<double> work(1.0 /
                                               static_cast<double>(options_.mean_work.count()));
    instant arrival = start_time;
    for (std::uint32_t call = 0; call < options_.requests; ++call) {
      arrival += duration(static_cast<std::int64_t>(interarrival(random_) * 1e6));
      release_until(arrival);
      queue_.push_back({arrival, duration(1 + static_cast<std::int64_t>(work(random_)))});
      serve(arrival);
    }
    release_until(instant::max());
    result_.calls = options_.requests;
    result_.attempts = options_.requests;
    std::sort(result_.latencies.begin(), result_.latencies.end());
    return std::move(result_);
  }

 private:
  void release_until(instant limit) {
    while (!busy_.empty() && busy_.top().end <= limit) {
      const busy_slot slot = busy_.top();
      busy_.pop();
      --endpoints_[slot.endpoint].running;
      serve(slot.end);
    }
  }

  void serve(instant now) {
    while (!queue_.empty()) {
      const auto found =
          std::find_if(endpoints_.begin(), endpoints_.end(), [now](const fleet_endpoint& endpoint) {
            return endpoint.running < endpoint.slots && !endpoint.is_slow_at(now);
          });
      if (found == endpoints_.end()) {
        return;
      }
      const waiting_call call = queue_.front();
      queue_.pop_front();
      const instant end = found->completion_time(now, call.work);
      ++found->running;
      busy_.push({end, static_cast<std::size_t>(found - endpoints_.begin())});
      result_.latencies.push_back(end + 2 * options_.one_way_latency - call.arrived);
    }
  }

  fleet_options options_;
  std::mt19937_64 random_;
  std::vector<fleet_endpoint> endpoints_;
  std::deque<waiting_call> queue_;
  std::priority_queue<busy_slot> busy_;
  fleet_result result_;
};

}  // namespace

fleet_result run_ideal(const fleet_options& options) { return single_queue(options).run(); }

}  // namespace catkintack::bench
