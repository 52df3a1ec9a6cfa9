// Compares strategies for sharing an allowance between hosts by overshoot, undershoot and bytes
// sent, in virtual time.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/limits/limiter.hpp"

namespace {

using namespace catkintack;  // NOLINT(google-build-using-namespace)

constexpr std::size_t host_count = 17;
constexpr std::size_t partitioned_hosts = 6;
constexpr double rate = 1000;
constexpr std::uint32_t burst = 100;
constexpr int run_ms = 60'000;
constexpr int event_ms = 20'000;
constexpr int event_end_ms = 40'000;
constexpr int failure_detection_ms = 2'000;
constexpr int list_lag_ms = 5'000;
constexpr int window_ms = 5'000;
constexpr int seeds = 3;
constexpr double owner_bytes_per_call = 300;  // Request and response, with digests.
constexpr double target_calls_per_second = 110'000;

const base::customer_id customer("mercato");
const config::allowance allowance{base::plan_id("gold"), base::service_id("label-press"), rate,
                                  burst, 1'000'000};

base::instant at(int ms) { return base::instant(std::chrono::milliseconds(ms)); }

double report_bytes(const limits::demand_report& report) {
  constexpr double entry_bytes = 7;
  const limits::allowance_splitter_options options;
  return options.report_overhead_bytes + entry_bytes * static_cast<double>(report.entries.size());
}

/// Conditions of a run: how callers are distributed, which hosts are up, which can reach each
/// other, and how many live hosts each host assumes.
struct scenario {
  std::string name;
  double offered = rate;
  std::function<std::size_t(int, std::uint64_t)> host_of;           ///< Time, random bits.
  std::function<bool(int, std::size_t)> is_up;                      ///< Time, host.
  std::function<bool(int, std::size_t, std::size_t)> connected;     ///< Time, from, to.
  std::function<std::uint32_t(int, std::size_t)> known_live_hosts;  ///< Time, host.
};

enum class sharing_strategy { even, demand, owner };

class host_fleet {
 public:
  host_fleet(sharing_strategy chosen, const scenario& simulated)
      : strategy_(chosen), simulated_(simulated) {
    for (std::size_t host = 0; host < host_count; ++host) {
      limits::limiter_options options;
      options.shares.run = base::incarnation(1);
      hosts_.push_back(std::make_unique<limits::limiter>(options));
    }
  }

  void step(int ms) {
    for (std::size_t host = 0; host < host_count; ++host) {
      hosts_[host]->set_live_hosts(
          strategy_ == sharing_strategy::owner ? 1 : simulated_.known_live_hosts(ms, host));
      const bool reports = strategy_ == sharing_strategy::demand && simulated_.is_up(ms, host);
      if (reports && hosts_[host]->report_due(at(ms))) {
        broadcast_report(ms, host, hosts_[host]->make_demand_report(at(ms)));
      }
    }
  }

  bool try_admit(int ms, std::size_t host) {
    const std::size_t deciding_host = strategy_ == sharing_strategy::owner ? owner(ms, host) : host;
    if (strategy_ == sharing_strategy::owner && deciding_host != host) {
      bytes_ += owner_bytes_per_call;
      if (!simulated_.is_up(ms, deciding_host) || !simulated_.connected(ms, host, deciding_host)) {
        return false;
      }
    }
    const bool admitted = hosts_[deciding_host]->admit(at(ms), customer, allowance).admitted;
    if (admitted) {
      hosts_[deciding_host]->release(customer, allowance.service);
    }
    return admitted;
  }

  double bytes() const { return bytes_; }

 private:
  /// Returns the owner according to the requesting host's host list, which is as stale as its count
  /// of live hosts.
  std::size_t owner(int ms, std::size_t host) const {
    const std::uint32_t known_live_hosts = simulated_.known_live_hosts(ms, host);
    if (known_live_hosts == host_count) {
      return 0;
    }
    for (std::size_t other = 0; other < host_count; ++other) {
      if (simulated_.is_up(ms, other) && simulated_.connected(ms, host, other)) {
        return other == 0 && known_live_hosts < host_count - partitioned_hosts ? 1 : other;
      }
    }
    return host;
  }

  void broadcast_report(int ms, std::size_t from, const limits::demand_report& report) {
    if (report.entries.empty()) {
      return;
    }
    for (std::size_t to = 0; to < host_count; ++to) {
      if (to != from) {
        bytes_ += report_bytes(report);
        if (simulated_.connected(ms, from, to) && simulated_.is_up(ms, to)) {
          hosts_[to]->on_peer_report(at(ms), base::host_id(std::to_string(from)), report);
        }
      }
    }
  }

  sharing_strategy strategy_;
  const scenario& simulated_;
  std::vector<std::unique_ptr<limits::limiter>> hosts_;
  double bytes_ = 0;
};

struct scenario_result {
  double overshoot = 0;         ///< Worst window: excess over the rate and burst.
  double undershoot = 0;        ///< Whole run: shortfall below min(offered, rate).
  double worst_undershoot = 0;  ///< Worst window: shortfall below min(offered, rate).
  double bytes = 0;             ///< Sent per second and host.
};

scenario_result simulate(sharing_strategy chosen, const scenario& simulated, std::uint64_t seed) {
  host_fleet hosts(chosen, simulated);
  const auto random = base::seeded_random_hook(seed);
  std::vector<int> admitted(run_ms, 0);
  double due = 0;
  for (int ms = 0; ms < run_ms; ++ms) {
    hosts.step(ms);
    for (due += simulated.offered / 1000; due >= 1; due -= 1) {
      const std::size_t host = simulated.host_of(ms, random());
      admitted[static_cast<std::size_t>(ms)] += hosts.try_admit(ms, host) ? 1 : 0;
    }
  }
  scenario_result result;
  const double wanted = std::min(simulated.offered, rate);
  double window = 0;
  double total = 0;
  for (int ms = 0; ms < run_ms; ++ms) {
    window += admitted[static_cast<std::size_t>(ms)];
    total += admitted[static_cast<std::size_t>(ms)];
    if (ms >= window_ms) {
      window -= admitted[static_cast<std::size_t>(ms - window_ms)];
      const double seconds = window_ms / 1000.0;
      result.overshoot = std::max(result.overshoot, window / (rate * seconds + burst) - 1);
      result.worst_undershoot = std::max(result.worst_undershoot, 1 - window / (wanted * seconds));
    }
  }
  result.undershoot = std::max(0.0, 1 - total / (wanted * run_ms / 1000.0));
  result.bytes = hosts.bytes() / host_count / (run_ms / 1000.0);
  return result;
}

std::vector<scenario> scenarios() {
  const auto any_host = [](int, std::uint64_t bits) { return bits % host_count; };
  const auto all_up = [](int, std::size_t) { return true; };
  const auto all_connected = [](int, std::size_t, std::size_t) { return true; };
  const auto all_hosts = [](int, std::size_t) { return static_cast<std::uint32_t>(host_count); };
  const auto in_event = [](int ms) { return ms >= event_ms && ms < event_end_ms; };
  const auto up_unless_lost = [](int ms, std::size_t host) { return host != 0 || ms < event_ms; };
  const auto connected_unless_partitioned = [=](int ms, std::size_t from, std::size_t to) {
    return !in_event(ms) || (from < partitioned_hosts) == (to < partitioned_hosts);
  };
  const auto up_once_joined = [](int ms, std::size_t host) {
    return host >= partitioned_hosts || ms >= event_ms;
  };
  const auto hosts_after_loss = [](int ms, std::size_t) {
    return static_cast<std::uint32_t>(host_count - (ms >= event_ms + failure_detection_ms ? 1 : 0));
  };
  const auto hosts_in_partition = [=](int ms, std::size_t host) -> std::uint32_t {
    if (!in_event(ms) || ms < event_ms + failure_detection_ms) {
      return host_count;
    }
    return host < partitioned_hosts ? partitioned_hosts : host_count - partitioned_hosts;
  };
  const auto hosts_by_lagging_list = [](int ms, std::size_t host) -> std::uint32_t {
    const bool old = host >= partitioned_hosts && ms < event_ms + list_lag_ms;
    return old ? host_count - partitioned_hosts : host_count;
  };
  const auto avoid_lost_host = [=](int ms, std::uint64_t bits) -> std::size_t {
    const std::size_t host = bits % host_count;
    return up_unless_lost(ms, host) ? host : 1;
  };
  const auto avoid_absent_hosts = [=](int ms, std::uint64_t bits) -> std::size_t {
    const std::size_t host = bits % host_count;
    return up_once_joined(ms, host) ? host : host_count - 1 - host;
  };
  return {
      {"even, 150%", 1.5 * rate, any_host, all_up, all_connected, all_hosts},
      {"one host, 90%", 0.9 * rate, [](int, std::uint64_t) { return std::size_t{3}; }, all_up,
       all_connected, all_hosts},
      {"one host, 150%", 1.5 * rate, [](int, std::uint64_t) { return std::size_t{3}; }, all_up,
       all_connected, all_hosts},
      {"one host, moves", 0.9 * rate,
       [](int ms, std::uint64_t) { return static_cast<std::size_t>(ms / event_ms); }, all_up,
       all_connected, all_hosts},
      {"two hosts, one lost", 0.9 * rate,
       [](int ms, std::uint64_t bits) -> std::size_t { return ms < event_ms ? bits % 2 : 1; },
       up_unless_lost, all_connected, hosts_after_loss},
      {"even, host lost", 1.5 * rate, avoid_lost_host, up_unless_lost, all_connected,
       hosts_after_loss},
      {"even, region cut", 1.5 * rate, any_host, all_up, connected_unless_partitioned,
       hosts_in_partition},
      {"even, list lags", 1.5 * rate, avoid_absent_hosts, up_once_joined, all_connected,
       hosts_by_lagging_list},
  };
}

void print(const char* name, sharing_strategy chosen, const scenario& simulated) {
  scenario_result worst;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const scenario_result run_result = simulate(chosen, simulated, seed);
    worst.overshoot = std::max(worst.overshoot, run_result.overshoot);
    worst.undershoot = std::max(worst.undershoot, run_result.undershoot);
    worst.worst_undershoot = std::max(worst.worst_undershoot, run_result.worst_undershoot);
    worst.bytes = std::max(worst.bytes, run_result.bytes);
  }
  std::printf("%-20s %-8s %8.1f%% %8.1f%% %8.1f%% %10.0f\n", simulated.name.c_str(), name,
              100 * worst.overshoot, 100 * worst.undershoot, 100 * worst.worst_undershoot,
              worst.bytes);
}

/// Returns the bytes per second that a host sends when 10,000 accounts exceed their share at once.
double bytes_with_many_accounts(std::uint32_t hosts) {
  limits::allowance_splitter shares;
  shares.set_live_hosts(hosts);
  std::vector<limits::measured_demand> demands;
  for (limits::account_key key = 0; key < 10'000; ++key) {
    demands.push_back({key, 1.0});
  }
  const auto report = shares.make_report({}, demands);
  const double seconds = base::to_seconds(limits::allowance_splitter_options().report_interval);
  return (hosts - 1) * report_bytes(report) / seconds;
}

}  // namespace

int main() {
  std::printf("%-20s %-8s %9s %9s %9s %10s\n", "arrival", "strategy", "over", "under", "worst 5s",
              "bytes/s");
  for (const scenario& simulated : scenarios()) {
    print("even", sharing_strategy::even, simulated);
    print("demand", sharing_strategy::demand, simulated);
    print("owner", sharing_strategy::owner, simulated);
  }
  std::printf("\nbytes/s per host, 10,000 accounts short: demand %.0f at 17 hosts\n",
              bytes_with_many_accounts(host_count));
  const double per_host = target_calls_per_second / host_count;
  std::printf("bytes/s per host at 110,000 calls/s: owner %.0f\n",
              per_host * owner_bytes_per_call * (host_count - 1) / host_count);
  return 0;
}
