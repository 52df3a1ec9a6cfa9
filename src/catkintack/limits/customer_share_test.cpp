#include "catkintack/limits/customer_share.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace catkintack::limits {
namespace {

const base::service_id service("label-press");

struct load {
  double per_second = 0;
  int first_host = -1;        ///< -1: the callers are spread over all hosts.
  std::uint32_t rank = 0;     ///< Of the customer.
  std::uint32_t retries = 2;  ///< Of a refused call.
  double retry_after = 0.3;   ///< Seconds; up to twice as much, at random.
};

struct served_customer {
  double offered = 0;
  double served = 0;
  double owed = 0;
  double ratio() const { return served / offered; }
};

/// @brief Hosts without links between each other that send to one service.
class fleet {
 public:
  fleet(int hosts, std::vector<load> loads, std::uint32_t slots, bool ignore_shares = false)
      : loads_(std::move(loads)), slots_(slots), ignore_shares_(ignore_shares), hosts_(hosts) {
    for (customer_share& host : hosts_) {
      host.set_slots(service, slots);
    }
  }

  /// @brief Runs the fleet until the rates are steady, then measures.
  std::vector<served_customer> run() {
    constexpr int warm_up_steps = 4000;
    constexpr int measured_steps = 8000;
    for (int step = 0; step < warm_up_steps + measured_steps; ++step) {
      measuring_ = step >= warm_up_steps;
      now_ += std::chrono::milliseconds(step_ms);
      run_step();
    }
    set_owed();
    for (served_customer& one : results_) {
      one.served /= measured_steps * step_ms / 1000.0;
      one.offered /= measured_steps * step_ms / 1000.0;
    }
    return results_;
  }

  int refused_by_share = 0;

 private:
  static constexpr int step_ms = 5;
  static constexpr int service_ms = 100;

  struct attempt {
    std::size_t customer = 0;
    std::size_t host = 0;
    std::uint32_t tries = 0;
    bool measured = false;
    base::instant sent_at{};
  };

  share_request request_of(const attempt& one) const {
    return {.service = service,
            .customer = base::customer_id("c" + std::to_string(one.customer)),
            .customer_rank = loads_[one.customer].rank};
  }

  void run_step() {
    while (!running_.empty() && running_.front().first <= now_) {
      const attempt done = running_.front().second;
      running_.pop_front();
      hosts_[done.host].ended(service, request_of(done).customer, now_ - done.sent_at);
      results_[done.customer].served += done.measured ? 1 : 0;
    }
    while (!queued_.empty() && running_.size() < slots_) {
      begin(queued_.front());
      queued_.pop_front();
    }
    std::vector<attempt> due;
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      due.push_back(retries_.begin()->second);
      retries_.erase(retries_.begin());
    }
    for (std::size_t c = 0; c < loads_.size(); ++c) {
      std::poisson_distribution<int> arrivals(loads_[c].per_second * step_ms / 1000.0);
      for (int left = arrivals(random_); left > 0; --left) {
        const std::size_t host = loads_[c].first_host >= 0
                                     ? static_cast<std::size_t>(loads_[c].first_host)
                                     : random_() % hosts_.size();
        due.push_back({c, host, 0, measuring_});
        results_[c].offered += measuring_ ? 1 : 0;
        hosts_[host].arrived(now_, request_of(due.back()));
      }
    }
    std::ranges::shuffle(due, random_);
    std::ranges::for_each(due, [&](const attempt& one) { place(one); });
  }

  void place(attempt one) {
    customer_share& host = hosts_[one.host];
    const bool full = running_.size() >= slots_;
    host.record_reading(now_, service, full);
    const share_decision decision = host.decide(now_, request_of(one));
    refused_by_share += decision.admitted ? 0 : 1;
    const bool queues = decision.may_queue || one.tries > 0;
    if ((decision.admitted || ignore_shares_) && (!full || (queues && queued_.size() < slots_))) {
      host.started(now_, request_of(one));
      one.sent_at = now_;
      full ? queued_.push_back(one) : begin(one);
      return;
    }
    const load& from = loads_[one.customer];
    if (one.tries++ < from.retries) {
      std::uniform_real_distribution<double> jitter(1, 2);
      const auto wait = std::chrono::duration<double>(from.retry_after * jitter(random_));
      retries_.emplace(now_ + std::chrono::duration_cast<base::duration>(wait), one);
    }
  }

  void begin(const attempt& one) {
    running_.emplace_back(now_ + std::chrono::milliseconds(service_ms), one);
  }

  /// @brief Shares the capacity by rank, in max-min equal shares of the offered loads.
  void set_owed() {
    double left = slots_ * 1000.0 / service_ms;
    std::map<std::uint32_t, std::vector<std::size_t>> ranks;
    for (std::size_t c = 0; c < loads_.size(); ++c) {
      ranks[loads_[c].rank].push_back(c);
    }
    for (auto& [rank, members] : ranks) {
      std::ranges::sort(members, {}, [&](std::size_t c) { return loads_[c].per_second; });
      for (std::size_t i = 0; i < members.size(); ++i) {
        const double equal = left / static_cast<double>(members.size() - i);
        results_[members[i]].owed = std::min(loads_[members[i]].per_second, equal);
        left -= results_[members[i]].owed;
      }
    }
  }

  std::vector<load> loads_;
  std::uint32_t slots_;
  bool ignore_shares_;
  std::vector<customer_share> hosts_;
  std::vector<served_customer> results_ = std::vector<served_customer>(loads_.size());
  base::instant now_{std::chrono::seconds(1)};
  std::mt19937_64 random_{7};
  std::deque<std::pair<base::instant, attempt>> running_;
  std::deque<attempt> queued_;
  std::multimap<base::instant, attempt> retries_;
  bool measuring_ = false;
};

double jain_index(const std::vector<served_customer>& customers) {
  double sum = 0;
  double squares = 0;
  for (const served_customer& one : customers) {
    sum += one.served / one.owed;
    squares += one.served / one.owed * (one.served / one.owed);
  }
  return sum * sum / (static_cast<double>(customers.size()) * squares);
}

double total(const std::vector<served_customer>& customers, double served_customer::*field) {
  return std::accumulate(customers.begin(), customers.end(), 0.0,
                         [&](double sum, const auto& one) { return sum + one.*field; });
}

/// @brief Returns the lowest served fraction of a customer, relative to that of all calls.
double lowest_relative_ratio(const std::vector<served_customer>& customers) {
  const double all =
      total(customers, &served_customer::served) / total(customers, &served_customer::offered);
  return std::ranges::min(customers, {}, &served_customer::ratio).ratio() / all;
}

constexpr int customer_count = 20;
constexpr double usual = 20;
constexpr std::uint32_t slots = 32;  ///< 320 calls per second: 0.8 of the usual load.

std::vector<load> usual_loads() { return std::vector<load>(customer_count, {usual}); }

class fleet_of : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(hosts, fleet_of, testing::Values(1, 17, 137));

void expect_fair(const char* name, int hosts, const std::vector<load>& loads) {
  const auto result = fleet(hosts, loads, slots).run();
  EXPECT_GE(jain_index(result), 0.95) << name;
  EXPECT_GE(lowest_relative_ratio(result), 0.25) << name;
  EXPECT_GE(total(result, &served_customer::served), 0.9 * slots * 10) << name;
}

TEST_P(fleet_of, shares_equally_when_one_customer_sends_five_times_its_usual_load) {
  auto loads = usual_loads();
  loads[3].per_second *= 5;
  expect_fair("one at five times", GetParam(), loads);
}

TEST_P(fleet_of, shares_equally_when_several_customers_send_five_times_their_usual_load) {
  auto loads = usual_loads();
  for (const std::size_t c : {3U, 4U, 5U}) {
    loads[c].per_second *= 5;
  }
  expect_fair("three at five times", GetParam(), loads);
}

TEST_P(fleet_of, shares_equally_despite_a_retry_storm_of_one_customer) {
  auto loads = usual_loads();
  loads[3] = {.per_second = 2 * usual, .retries = 20, .retry_after = 0.05};
  expect_fair("retry storm", GetParam(), loads);
}

TEST_P(fleet_of, shares_equally_when_all_callers_of_one_customer_use_one_host) {
  auto loads = usual_loads();
  loads[3].first_host = 0;
  expect_fair("one host, usual load", GetParam(), loads);
  loads[3].per_second *= 5;
  expect_fair("one host, five times", GetParam(), loads);
}

TEST_P(fleet_of, shares_equally_among_customers_of_unequal_loads) {
  std::vector<load> loads;
  loads.reserve(customer_count);
  for (int c = 0; c < customer_count; ++c) {
    loads.push_back({.per_second = 6.0 + 3 * c});  // 6 to 63 calls/s, 690 in total.
  }
  expect_fair("unequal loads", GetParam(), loads);
}

// Guards against shares that keep capacity from the only customer that asks for it.
TEST_P(fleet_of, unused_capacity_is_used_by_one_customer) {
  std::vector<load> loads(customer_count, {.per_second = 2});
  loads[3].per_second = 600;
  const auto result = fleet(GetParam(), loads, slots).run();
  const double capacity = slots * 10;
  EXPECT_GE(total(result, &served_customer::served), 0.85 * capacity);
  double small_offered = 0;
  double small_served = 0;
  for (std::size_t c = 0; c < result.size(); ++c) {
    small_offered += c == 3 ? 0 : result[c].offered;
    small_served += c == 3 ? 0 : result[c].served;
  }
  EXPECT_GE(small_served, 0.95 * small_offered);
}

TEST_P(fleet_of, refuses_nobody_without_saturation) {
  std::vector<load> loads(customer_count, {.per_second = 5});
  loads[3].per_second = 100;
  fleet calm(GetParam(), loads, slots);
  const auto result = calm.run();
  EXPECT_EQ(calm.refused_by_share, 0);
  EXPECT_GE(total(result, &served_customer::served),
            0.98 * total(result, &served_customer::offered));
}

// Guards against a priority that is ignored, and against the starvation of the lowest one.
TEST_P(fleet_of, serves_higher_ranks_first_and_starves_nobody) {
  auto loads = usual_loads();
  for (std::size_t c = 0; c < loads.size(); ++c) {
    loads[c].rank = c < 10 ? 0 : 1;
    loads[c].per_second *= 1.5;
  }
  const auto result = fleet(GetParam(), loads, slots).run();
  for (std::size_t c = 0; c < 10; ++c) {
    EXPECT_GE(result[c].ratio(), 0.8) << c;
  }
  EXPECT_GE(lowest_relative_ratio(result), 0.25);
}

TEST(fleet_check, fails_if_shares_are_ignored) {
  auto loads = usual_loads();
  loads[3].per_second *= 5;
  EXPECT_LT(jain_index(fleet(17, loads, slots, true).run()), 0.95);
}

// Guards against a route priority that outweighs the customer's, or that is ignored.
TEST(customer_share, compares_the_customer_before_the_route) {
  customer_share shares;
  base::instant now{std::chrono::seconds(1)};
  const auto request = [](const char* customer, std::uint32_t rank, std::uint32_t route) {
    return share_request{service, base::customer_id(customer), rank, route};
  };
  const auto first = request("a", 0, 9);
  const auto second = request("b", 1, 0);
  const auto third = request("b", 1, 5);
  for (int i = 0; i < 300; ++i) {
    now += std::chrono::milliseconds(100);
    // 0.7 of the readings are saturated, which leaves a little over half of the demand.
    shares.record_reading(now, service, i % 10 < 7);
    for (const share_request& one : {first, second, third}) {
      shares.arrived(now, one);
    }
  }
  const share_decision of_first = shares.decide(now, first);
  const share_decision of_second = shares.decide(now, second);
  const share_decision of_third = shares.decide(now, third);
  EXPECT_GT(of_first.share, 9);
  EXPECT_GT(of_second.share, 1.5 * of_third.share);
  EXPECT_GT(of_third.share, 0);
}

// Guards against refusals that rest on old readings, which would keep new ones from being taken.
TEST(customer_share, old_readings_refuse_nobody) {
  customer_share shares;
  base::instant now{std::chrono::seconds(1)};
  const share_request noisy{service, base::customer_id("noisy")};
  const share_request quiet{service, base::customer_id("quiet")};
  for (int i = 0; i < 100; ++i) {
    shares.record_reading(now, service, true);
    now += std::chrono::milliseconds(100);
    shares.arrived(now, noisy);
    shares.arrived(now, quiet);
    shares.started(now, noisy);
  }
  EXPECT_FALSE(shares.decide(now, noisy).admitted);
  EXPECT_TRUE(shares.decide(now + std::chrono::seconds(4), noisy).admitted);
}

}  // namespace
}  // namespace catkintack::limits
