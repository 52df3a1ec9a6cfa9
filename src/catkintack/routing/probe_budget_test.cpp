#include "catkintack/routing/probe_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

namespace catkintack::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr probe_cost cost{400, 2};

probe_budget_options make_options() {
  probe_budget_options options;
  options.list_lag = seconds(2);
  options.assumed_hosts = 12;
  options.burst = seconds(1);
  return options;
}

TEST(probe_budget, spends_nothing_until_other_hosts_count_this_one) {
  probe_budget budget(make_options(), {});
  EXPECT_FALSE(budget.try_spend(base::instant(milliseconds(3999)), cost));
  budget.set_host_count(base::instant(seconds(5)), 2, 2);
  EXPECT_TRUE(budget.try_spend(base::instant(seconds(5)), cost));
}

TEST(probe_budget, sums_all_spending) {
  probe_budget budget(make_options(), {});
  budget.set_host_count(base::instant(seconds(6)), 2, 2);
  EXPECT_TRUE(budget.try_spend(base::instant(seconds(6)), cost));
  EXPECT_TRUE(budget.try_spend(base::instant(seconds(6)), cost));
  EXPECT_EQ(budget.spent().bytes, 800);
  EXPECT_EQ(budget.spent().upstream_ms, 4);
}

TEST(probe_budget, unreadable_list_reduces_the_share) {
  probe_budget budget(make_options(), {});
  budget.set_host_count(base::instant(seconds(6)), 2, 2);
  const base::instant late(seconds(20));
  int probes = 0;
  while (budget.try_spend(late, cost)) {
    ++probes;
  }
  EXPECT_EQ(probes, 2);  // 1/12 of 14,000 bytes and of 50 ms.
}

/// A fleet in which each host reads a version of the host list up to list_lag old.
class fleet_with_stale_list {
 public:
  explicit fleet_with_stale_list(const probe_budget_options& options) : options_(options) {
    sizes_[now_] = 0;
  }

  void advance(base::duration time) { now_ += time; }
  void join() {
    if (hosts_.size() < options_.assumed_hosts) {
      hosts_.emplace_back(options_, now_);
      sizes_[now_] = hosts_.size();
    }
  }
  void leave(std::size_t index) {
    if (!hosts_.empty()) {
      hosts_.erase(hosts_.begin() + static_cast<std::ptrdiff_t>(index % hosts_.size()));
      sizes_[now_] = hosts_.size();
    }
  }
  void read(std::size_t index, base::duration lag) {
    if (!hosts_.empty()) {
      const auto size = static_cast<std::uint32_t>(size_at(now_ - lag));
      hosts_[index % hosts_.size()].set_host_count(now_, size, 1);
    }
  }
  void spend(std::size_t index) {
    if (hosts_.empty()) {
      return;
    }
    while (hosts_[index % hosts_.size()].try_spend(now_, cost)) {
      probe_times_.push_back(now_);
    }
  }

  /// Checks the budget over every window that begins and ends with a probe.
  void check() const {
    for (std::size_t begin = 0; begin < probe_times_.size(); ++begin) {
      for (std::size_t end = begin; end < probe_times_.size(); ++end) {
        const double window =
            base::to_seconds(probe_times_[end] - probe_times_[begin] + options_.burst);
        const auto probes = static_cast<double>(end - begin + 1);
        RC_ASSERT(probes * cost.bytes <= options_.bytes_per_second * window + 1e-6);
        RC_ASSERT(probes * cost.upstream_ms <= options_.upstream_ms_per_second * window + 1e-6);
      }
    }
  }

 private:
  std::size_t size_at(base::instant time) const {
    const auto after = sizes_.upper_bound(time);
    return after == sizes_.begin() ? 0 : std::prev(after)->second;
  }

  probe_budget_options options_;
  base::instant now_{seconds(100)};
  std::map<base::instant, std::size_t> sizes_;
  std::vector<probe_budget> hosts_;
  std::vector<base::instant> probe_times_;
};

RC_GTEST_PROP(probe_budget, fleet_never_exceeds_its_budget_over_any_window, ()) {
  const probe_budget_options options = make_options();
  fleet_with_stale_list fleet(options);
  const auto steps = *rc::gen::inRange(0, 300);
  for (int step = 0; step < steps; ++step) {
    const auto index = *rc::gen::inRange<std::size_t>(0, 12);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        fleet.join();
        break;
      case 1:
        if (index < 2) {
          fleet.leave(index);
        }
        break;
      case 2:
      case 3:
        fleet.read(index, milliseconds(*rc::gen::inRange(0, 2001)));
        break;
      case 4:
      case 5:
        fleet.advance(milliseconds(*rc::gen::inRange(0, 1500)));
        break;
      default:
        fleet.spend(index);
    }
  }
  fleet.check();
}

}  // namespace
}  // namespace catkintack::routing
