// Overshoot, undershoot and bytes of ways to share an allowance between hosts, in virtual time.
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
constexpr std::size_t cut_hosts = 6;
constexpr double rate = 1000;
constexpr std::uint32_t burst = 100;
constexpr int run_ms = 60'000;
constexpr int event_ms = 20'000;
constexpr int event_end_ms = 40'000;
constexpr int heartbeat_silence_ms = 2'000;
constexpr int list_lag_ms = 5'000;
constexpr int window_ms = 5'000;
constexpr int seeds = 3;
constexpr double owner_bytes_per_call = 300;  // A question and its answer, with digests.
constexpr double letter_calls_per_second = 110'000;

const base::customer_id customer("mercato");
const config::allowance allowance{base::plan_id("gold"), base::service_id("label-press"), rate,
                                  burst, 1'000'000};

base::instant at(int ms) { return base::instant(std::chrono::milliseconds(ms)); }

double report_bytes(const limits::demand_report& report) {
  constexpr double entry_bytes = 7;
  const limits::allowance_splitter_options options;
  return options.report_overhead_bytes + entry_bytes * static_cast<double>(report.entries.size());
}

/// What happens in a run: where callers go, which hosts serve, hear each other and are counted.
struct scenario {
  std::string name;
  double offered = rate;
  std::function<std::size_t(int, std::uint64_t)> host_of;    ///< Time, random bits.
  std::function<bool(int, std::size_t)> serves;              ///< Time, host.
  std::function<bool(int, std::size_t, std::size_t)> hears;  ///< Time, from, to.
  std::function<std::uint32_t(int, std::size_t)> believed;   ///< Time, host.
};

enum class way { even, demand, owner };

class fleet {
 public:
  fleet(way chosen, const scenario& played) : way_(chosen), played_(played) {
    for (std::size_t host = 0; host < host_count; ++host) {
      limits::limiter_options options;
      options.shares.run = base::incarnation(1);
      hosts_.push_back(std::make_unique<limits::limiter>(options));
    }
  }

  void step(int ms) {
    for (std::size_t host = 0; host < host_count; ++host) {
      hosts_[host]->set_live_hosts(way_ == way::owner ? 1 : played_.believed(ms, host));
      const bool speaks = way_ == way::demand && played_.serves(ms, host);
      if (speaks && hosts_[host]->report_due(at(ms))) {
        tell(ms, host, hosts_[host]->make_demand_report(at(ms)));
      }
    }
  }

  bool ask(int ms, std::size_t host) {
    const std::size_t decides = way_ == way::owner ? owner(ms, host) : host;
    if (way_ == way::owner && decides != host) {
      bytes_ += owner_bytes_per_call;
      if (!played_.serves(ms, decides) || !played_.hears(ms, host, decides)) {
        return false;
      }
    }
    const bool admitted = hosts_[decides]->admit(at(ms), customer, allowance).admitted;
    if (admitted) {
      hosts_[decides]->release(customer, allowance.service);
    }
    return admitted;
  }

  double bytes() const { return bytes_; }

 private:
  /// The owner by the asking host's list of hosts, which lags behind like its count.
  std::size_t owner(int ms, std::size_t host) const {
    const std::uint32_t believed = played_.believed(ms, host);
    if (believed == host_count) {
      return 0;
    }
    for (std::size_t other = 0; other < host_count; ++other) {
      if (played_.serves(ms, other) && played_.hears(ms, host, other)) {
        return other == 0 && believed < host_count - cut_hosts ? 1 : other;
      }
    }
    return host;
  }

  void tell(int ms, std::size_t from, const limits::demand_report& report) {
    if (report.entries.empty()) {
      return;
    }
    for (std::size_t to = 0; to < host_count; ++to) {
      if (to != from) {
        bytes_ += report_bytes(report);
        if (played_.hears(ms, from, to) && played_.serves(ms, to)) {
          hosts_[to]->on_peer_report(at(ms), base::host_id(std::to_string(from)), report);
        }
      }
    }
  }

  way way_;
  const scenario& played_;
  std::vector<std::unique_ptr<limits::limiter>> hosts_;
  double bytes_ = 0;
};

struct figures {
  double over = 0;         ///< Worst window, above rate and burst.
  double under = 0;        ///< Whole run, below what was asked for and allowed.
  double worst_under = 0;  ///< Worst window.
  double bytes = 0;        ///< Per second and host.
};

figures play(way chosen, const scenario& played, std::uint64_t seed) {
  fleet hosts(chosen, played);
  const auto random = base::seeded_random_hook(seed);
  std::vector<int> admitted(run_ms, 0);
  double due = 0;
  for (int ms = 0; ms < run_ms; ++ms) {
    hosts.step(ms);
    for (due += played.offered / 1000; due >= 1; due -= 1) {
      const std::size_t host = played.host_of(ms, random());
      admitted[static_cast<std::size_t>(ms)] += hosts.ask(ms, host) ? 1 : 0;
    }
  }
  figures result;
  const double wanted = std::min(played.offered, rate);
  double window = 0;
  double total = 0;
  for (int ms = 0; ms < run_ms; ++ms) {
    window += admitted[static_cast<std::size_t>(ms)];
    total += admitted[static_cast<std::size_t>(ms)];
    if (ms >= window_ms) {
      window -= admitted[static_cast<std::size_t>(ms - window_ms)];
      const double seconds = window_ms / 1000.0;
      result.over = std::max(result.over, window / (rate * seconds + burst) - 1);
      result.worst_under = std::max(result.worst_under, 1 - window / (wanted * seconds));
    }
  }
  result.under = std::max(0.0, 1 - total / (wanted * run_ms / 1000.0));
  result.bytes = hosts.bytes() / host_count / (run_ms / 1000.0);
  return result;
}

std::vector<scenario> scenarios() {
  const auto any = [](int, std::uint64_t bits) { return bits % host_count; };
  const auto all_serve = [](int, std::size_t) { return true; };
  const auto all_hear = [](int, std::size_t, std::size_t) { return true; };
  const auto full = [](int, std::size_t) { return static_cast<std::uint32_t>(host_count); };
  const auto during = [](int ms) { return ms >= event_ms && ms < event_end_ms; };
  const auto lost = [](int ms, std::size_t host) { return host != 0 || ms < event_ms; };
  const auto cut = [=](int ms, std::size_t from, std::size_t to) {
    return !during(ms) || (from < cut_hosts) == (to < cut_hosts);
  };
  const auto joined = [](int ms, std::size_t host) { return host >= cut_hosts || ms >= event_ms; };
  const auto after_loss = [](int ms, std::size_t) {
    return static_cast<std::uint32_t>(host_count - (ms >= event_ms + heartbeat_silence_ms ? 1 : 0));
  };
  const auto in_cut = [=](int ms, std::size_t host) -> std::uint32_t {
    if (!during(ms) || ms < event_ms + heartbeat_silence_ms) {
      return host_count;
    }
    return host < cut_hosts ? cut_hosts : host_count - cut_hosts;
  };
  const auto lagging = [](int ms, std::size_t host) -> std::uint32_t {
    const bool old = host >= cut_hosts && ms < event_ms + list_lag_ms;
    return old ? host_count - cut_hosts : host_count;
  };
  const auto serving = [=](int ms, std::uint64_t bits) -> std::size_t {
    const std::size_t host = bits % host_count;
    return lost(ms, host) ? host : 1;
  };
  const auto with_joined = [=](int ms, std::uint64_t bits) -> std::size_t {
    const std::size_t host = bits % host_count;
    return joined(ms, host) ? host : host_count - 1 - host;
  };
  return {
      {"even, 150%", 1.5 * rate, any, all_serve, all_hear, full},
      {"one host, 90%", 0.9 * rate, [](int, std::uint64_t) { return std::size_t{3}; }, all_serve,
       all_hear, full},
      {"one host, 150%", 1.5 * rate, [](int, std::uint64_t) { return std::size_t{3}; }, all_serve,
       all_hear, full},
      {"one host, moves", 0.9 * rate,
       [](int ms, std::uint64_t) { return static_cast<std::size_t>(ms / event_ms); }, all_serve,
       all_hear, full},
      {"two hosts, one lost", 0.9 * rate,
       [](int ms, std::uint64_t bits) -> std::size_t { return ms < event_ms ? bits % 2 : 1; }, lost,
       all_hear, after_loss},
      {"even, host lost", 1.5 * rate, serving, lost, all_hear, after_loss},
      {"even, region cut", 1.5 * rate, any, all_serve, cut, in_cut},
      {"even, list lags", 1.5 * rate, with_joined, joined, all_hear, lagging},
  };
}

void print(const char* name, way chosen, const scenario& played) {
  figures worst;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const figures one = play(chosen, played, seed);
    worst.over = std::max(worst.over, one.over);
    worst.under = std::max(worst.under, one.under);
    worst.worst_under = std::max(worst.worst_under, one.worst_under);
    worst.bytes = std::max(worst.bytes, one.bytes);
  }
  std::printf("%-20s %-7s %8.1f%% %8.1f%% %8.1f%% %10.0f\n", played.name.c_str(), name,
              100 * worst.over, 100 * worst.under, 100 * worst.worst_under, worst.bytes);
}

/// Bytes that a host sends with very many accounts short at once.
double bytes_with_many_accounts(std::uint32_t hosts) {
  limits::allowance_splitter shares;
  shares.set_live_hosts(hosts);
  std::vector<limits::measured_demand> many;
  for (limits::account_key key = 0; key < 10'000; ++key) {
    many.push_back({key, 1.0});
  }
  const auto report = shares.make_report({}, many);
  const double seconds = base::to_seconds(limits::allowance_splitter_options().report_interval);
  return (hosts - 1) * report_bytes(report) / seconds;
}

}  // namespace

int main() {
  std::printf("%-20s %-7s %9s %9s %9s %10s\n", "arrival", "way", "over", "under", "worst 5s",
              "bytes/s");
  for (const scenario& played : scenarios()) {
    print("even", way::even, played);
    print("demand", way::demand, played);
    print("owner", way::owner, played);
  }
  std::printf("\nbytes/s per host, 10,000 accounts short: demand %.0f at 17 hosts\n",
              bytes_with_many_accounts(host_count));
  const double per_host = letter_calls_per_second / host_count;
  std::printf("bytes/s per host at 110,000 calls/s: owner %.0f\n",
              per_host * owner_bytes_per_call * (host_count - 1) / host_count);
  return 0;
}
