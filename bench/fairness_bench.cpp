// Queueing delay of quiet customers next to a noisy one at an overloaded service, in virtual time.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>
#include <string>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/limits/fair_share.hpp"

namespace {

using namespace catkintack;  // NOLINT(google-build-using-namespace)

constexpr std::size_t slots = 24;
constexpr double work_ms = 10;
constexpr int quiet_customers = 4;
constexpr double quiet_load = 0.05;  // Share of the service's capacity per customer.
constexpr double run_ms = 60'000;
constexpr std::size_t queue_limit = 200;
constexpr std::uint64_t seed = 1;
const base::service_id service("label-press");

enum class admission_policy { none, fixed_cap, fair };

struct request {
  int customer = 0;
  double arrived = 0;
  double ends = 0;
  bool operator<(const request& other) const { return ends > other.ends; }
};

struct simulation_result {
  double quiet_p99 = 0;
  double quiet_refused = 0;
  double utilization = 0;
  double noisy_refused = 0;
};

class simulation {
 public:
  simulation(admission_policy chosen, double noisy_load)
      : policy_(chosen), noisy_load_(noisy_load) {}

  simulation_result run() {
    const double arrivals_per_ms = load() * slots / work_ms;
    for (double now = exponential(1 / arrivals_per_ms); now < run_ms;
         now += exponential(1 / arrivals_per_ms)) {
      end_until(now);
      arrive(now);
    }
    std::sort(quiet_waits_.begin(), quiet_waits_.end());
    simulation_result result;
    result.quiet_p99 = quiet_waits_.at(quiet_waits_.size() * 99 / 100);
    result.quiet_refused = refused_[1] / offered_[1];
    result.noisy_refused = refused_[0] / offered_[0];
    result.utilization = busy_ms_ / (run_ms * slots);
    return result;
  }

 private:
  double load() const { return noisy_load_ + quiet_customers * quiet_load; }
  double uniform() { return (static_cast<double>(random_() >> 11U) + 1) / 9007199254740993.0; }
  double exponential(double mean) { return -std::log(uniform()) * mean; }
  static base::customer_id customer_id_of(int customer) {
    return base::customer_id(std::to_string(customer));
  }

  bool admits(double now, int customer) {
    if (running_.size() + waiting_.size() >= slots + queue_limit) {
      return false;
    }
    if (policy_ == admission_policy::fixed_cap) {
      return in_progress_[customer] < static_cast<int>(slots) / (quiet_customers + 1);
    }
    const base::instant time(base::duration(static_cast<std::int64_t>(now * 1000)));
    return policy_ == admission_policy::none ||
           shares_.may_start(time, service, customer_id_of(customer));
  }

  void arrive(double now) {
    const int customer =
        uniform() < noisy_load_ / load() ? 0 : 1 + static_cast<int>(random_() % quiet_customers);
    offered_[customer == 0 ? 0 : 1] += 1;
    if (!admits(now, customer)) {
      refused_[customer == 0 ? 0 : 1] += 1;
      return;
    }
    ++in_progress_[customer];
    shares_.started(service, customer_id_of(customer));
    waiting_.push_back({customer, now, 0});
    start_waiting(now);
  }

  void start_waiting(double now) {
    while (!waiting_.empty() && running_.size() < slots) {
      request next = waiting_.front();
      waiting_.pop_front();
      if (next.customer != 0) {
        quiet_waits_.push_back(now - next.arrived);
      }
      const double work = exponential(work_ms);
      busy_ms_ += work;
      next.ends = now + work;
      running_.push(next);
    }
  }

  void end_until(double now) {
    while (!running_.empty() && running_.top().ends <= now) {
      const request done = running_.top();
      running_.pop();
      --in_progress_[done.customer];
      shares_.ended(service, customer_id_of(done.customer));
      shares_.record_saturation(service, !waiting_.empty());
      start_waiting(done.ends);
    }
  }

  admission_policy policy_;
  double noisy_load_;
  base::random_hook random_ = base::seeded_random_hook(seed);
  limits::fair_share shares_;
  std::deque<request> waiting_;
  std::priority_queue<request> running_;
  int in_progress_[quiet_customers + 1] = {};
  double offered_[2] = {};
  double refused_[2] = {};
  std::vector<double> quiet_waits_;
  double busy_ms_ = 0;
};

void print(const char* name, admission_policy chosen, double noisy_load) {
  const simulation_result result = simulation(chosen, noisy_load).run();
  std::printf("%9.0f%%  %-10s %14.1f %13.2f%% %13.1f%% %8.1f%%\n", 100 * noisy_load, name,
              result.quiet_p99, 100 * result.quiet_refused, 100 * result.noisy_refused,
              100 * result.utilization);
}

}  // namespace

int main() {
  std::printf("noisy load  policy     quiet wait p99 quiet refused noisy refused     busy\n");
  for (const double noisy_load : {0.5, 0.75, 1.0, 1.5, 3.0}) {
    print("none", admission_policy::none, noisy_load);
    print("fixed cap", admission_policy::fixed_cap, noisy_load);
    print("fair", admission_policy::fair, noisy_load);
  }
  return 0;
}
