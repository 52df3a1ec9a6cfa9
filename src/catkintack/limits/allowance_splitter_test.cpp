#include "catkintack/limits/allowance_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <vector>

namespace catkintack::limits {
namespace {

constexpr account_key account = 7;
const base::duration interval = allowance_splitter_options().report_interval;
constexpr int max_consecutive_losses = 2;  // The window holds three reports.

/// Simulates hosts that exchange reports. The property generates losses, delays and demands.
class simulated_hosts {
 public:
  explicit simulated_hosts(std::size_t hosts) {
    for (std::size_t host = 0; host < hosts; ++host) {
      add();
    }
  }

  void add() {
    allowance_splitter_options options;
    options.run = base::incarnation(++last_incarnation_);
    hosts_.push_back(std::make_unique<allowance_splitter>(options));
    demand_.push_back(0);
    set_live_hosts_of_all(hosts_.size());
  }

  void remove_last() {
    hosts_.pop_back();
    demand_.pop_back();
    std::erase_if(losses_, [this](const auto& pair) {
      return std::max(pair.first.first, pair.first.second) == hosts_.size();
    });
    set_live_hosts_of_all(hosts_.size());
  }

  void set_live_hosts_of_all(std::size_t believed) {
    for (auto& host : hosts_) {
      host->set_live_hosts(static_cast<std::uint32_t>(believed));
    }
  }

  void set_live_hosts_of(std::size_t host, std::size_t believed) {
    hosts_[host]->set_live_hosts(static_cast<std::uint32_t>(believed));
  }

  void set_demand(std::size_t host, double amount) { demand_[host] = amount; }

  /// Sends the reports of all hosts. delivered(from, to) decides whether a report is lost (0,
  /// unless too many were lost in a row), late (1) or delivered immediately (any other value).
  template <class Delivered>
  void exchange(const Delivered& delivered) {
    now_ += interval;
    for (const late_report& late : late_) {
      if (late.to < hosts_.size()) {
        hosts_[late.to]->on_peer_report(now_, late.from, late.report);
      }
    }
    late_.clear();
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      const demand_report report = hosts_[from]->make_report(now_, {{account, demand_[from]}});
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != from) {
          send(from, to, report, delivered(from, to));
        }
      }
    }
  }

  double sum_of_shares() const {
    double total = 0;
    for (const auto& host : hosts_) {
      total += host->share(now_, account);
    }
    return total;
  }

  double share(std::size_t host) const { return hosts_[host]->share(now_, account); }
  std::size_t size() const { return hosts_.size(); }

 private:
  struct late_report {
    std::size_t to;
    base::host_id from;
    demand_report report;
  };
  enum class delivery { lost, immediate, late };

  static base::host_id name(std::size_t host) { return base::host_id(std::to_string(host)); }

  void send(std::size_t from, std::size_t to, const demand_report& report, int drawn) {
    int& losses = losses_[{from, to}];
    const bool may_lose = losses < max_consecutive_losses;
    const delivery outcome = drawn == 0 && may_lose ? delivery::lost
                             : drawn == 1           ? delivery::late
                                                    : delivery::immediate;
    losses = outcome == delivery::lost ? losses + 1 : 0;
    if (outcome == delivery::immediate) {
      hosts_[to]->on_peer_report(now_, name(from), report);
    } else if (outcome == delivery::late) {
      late_.push_back({to, name(from), report});
    }
  }

  base::instant now_{};
  std::uint64_t last_incarnation_ = 0;
  std::vector<std::unique_ptr<allowance_splitter>> hosts_;
  std::vector<double> demand_;
  std::vector<late_report> late_;
  std::map<std::pair<std::size_t, std::size_t>, int> losses_;
};

constexpr auto always = [](std::size_t, std::size_t) { return 2; };

TEST(allowance_splitter, splits_evenly_while_no_host_needs_more) {
  simulated_hosts hosts(4);
  for (int round = 0; round < 10; ++round) {
    hosts.exchange(always);
    EXPECT_DOUBLE_EQ(hosts.share(0), 0.25);
  }
}

TEST(allowance_splitter, gives_nearly_everything_to_the_only_host_with_demand) {
  simulated_hosts hosts(17);
  hosts.set_demand(0, 1);
  for (int round = 0; round < 10; ++round) {
    hosts.exchange(always);
  }
  EXPECT_GT(hosts.share(0), 0.9);
  EXPECT_GT(hosts.share(1), 0.0);
}

TEST(allowance_splitter, keeps_the_even_split_when_all_hosts_have_equal_demand) {
  simulated_hosts hosts(17);
  for (std::size_t host = 0; host < hosts.size(); ++host) {
    hosts.set_demand(host, 0.2);
  }
  for (int round = 0; round < 10; ++round) {
    hosts.exchange(always);
    EXPECT_NEAR(hosts.share(3), 1.0 / 17, 1e-9);
  }
}

TEST(allowance_splitter, a_paused_host_falls_back_to_the_fixed_fraction) {
  allowance_splitter shares;
  shares.set_live_hosts(2);
  const base::instant start{};
  shares.make_report(start, {{account, 1.0}});
  EXPECT_DOUBLE_EQ(shares.share(start + interval, account), 0.5);
  EXPECT_DOUBLE_EQ(shares.share(start + 4 * interval, account), 0.05);
}

TEST(allowance_splitter, ignores_an_outdated_report) {
  allowance_splitter shares;
  shares.set_live_hosts(2);
  const base::host_id peer("peer");
  const base::incarnation run(1);
  shares.on_peer_report({}, peer, {run, 9, {{account, 500, 20}}});
  const double claimed = shares.share({}, account);
  shares.on_peer_report({}, peer, {run, 8, {}});
  EXPECT_DOUBLE_EQ(shares.share({}, account), claimed);
  EXPECT_LT(claimed, 0.5);
}

TEST(allowance_splitter, reports_stay_within_the_byte_limit) {
  allowance_splitter shares;
  shares.set_live_hosts(17);
  std::vector<measured_demand> many;
  for (account_key key = 0; key < 1000; ++key) {
    many.push_back({key, 1.0});
  }
  const demand_report report = shares.make_report({}, many);
  const allowance_splitter_options limits;
  const std::size_t sent = 16 * (limits.report_overhead_bytes + 7 * report.entries.size());
  const double seconds = base::to_seconds(limits.report_interval);
  EXPECT_LE(static_cast<double>(sent) / seconds, limits.bytes_per_second);
  EXPECT_FALSE(report.entries.empty());
}

RC_GTEST_PROP(allowance_splitter_property,
              sum_of_shares_never_exceeds_one_under_loss_and_delay,
              ()) {
  simulated_hosts hosts(*rc::gen::inRange<std::size_t>(2, 8));
  for (int round = 0; round < 40; ++round) {
    const auto host = *rc::gen::inRange<std::size_t>(0, hosts.size());
    hosts.set_demand(host, *rc::gen::inRange(0, 30) / 10.0);
    hosts.exchange([](std::size_t, std::size_t) { return *rc::gen::inRange(0, 4); });
    RC_ASSERT(hosts.sum_of_shares() <= 1 + 1e-9);
  }
}

RC_GTEST_PROP(allowance_splitter_property,
              joins_and_leaves_keep_the_sum_within_max_total_share,
              ()) {
  constexpr std::size_t fewest = 2;
  constexpr std::size_t most = 8;
  simulated_hosts hosts(4);
  std::deque<std::uint32_t> joined(allowance_splitter_options().window_report_count + 1, 0);
  for (int round = 0; round < 40; ++round) {
    const int step = *rc::gen::inRange(0, 4);
    if (step == 0 && hosts.size() < most) {
      hosts.add();
      ++joined.back();
    } else if (step == 1 && hosts.size() > fewest) {
      hosts.remove_last();
    }
    std::size_t min_believed_hosts = hosts.size();
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      const auto believed = *rc::gen::inRange<std::size_t>(fewest, hosts.size() + 1);
      hosts.set_live_hosts_of(host, believed);
      min_believed_hosts = std::min(min_believed_hosts, believed);
    }
    hosts.set_demand(*rc::gen::inRange<std::size_t>(0, hosts.size()),
                     *rc::gen::inRange(0, 30) / 10.0);
    hosts.exchange([](std::size_t, std::size_t) { return *rc::gen::inRange(0, 4); });
    const double bound = allowance_splitter::max_total_share(
        static_cast<std::uint32_t>(hosts.size()), static_cast<std::uint32_t>(min_believed_hosts), 1,
        std::accumulate(joined.begin(), joined.end(), 0U));
    RC_ASSERT(hosts.sum_of_shares() <= bound + 1e-9);
    joined.pop_front();
    joined.push_back(0);
  }
}

}  // namespace
}  // namespace catkintack::limits
