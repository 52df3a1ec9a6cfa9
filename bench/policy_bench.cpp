// Compares load-balancing policies for every combination of load, slots, report delay and fault.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "fleet.hpp"
#include "policies.hpp"

namespace catkintack::bench {
namespace {

constexpr std::size_t threads = 4;

struct bench_options {
  std::vector<std::string> faults{"steady",   "slow",       "fail-fast",
                                  "draining", "cold-start", "region-cut"};
  std::vector<double> loads{50, 70, 85, 95};
  std::vector<double> slots{2, 3};
  std::vector<double> delays{1, 50};  ///< Report delays in ms.
  std::vector<std::string> policies;  ///< Empty selects all.
  std::uint32_t requests = 50'000;
  std::uint32_t seeds = 3;
  double idempotent = 100;
  bool work_per_attempt = false;
};

const std::map<std::string, fault>& fault_names() {
  static const std::map<std::string, fault> names{
      {"steady", fault::steady},         {"slow", fault::slow},
      {"fail-fast", fault::fail_fast},   {"draining", fault::draining},
      {"cold-start", fault::cold_start}, {"region-cut", fault::region_cut}};
  return names;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> words;
  std::istringstream stream(text);
  for (std::string word; std::getline(stream, word, ',');) {
    words.push_back(word);
  }
  return words;
}

std::vector<double> numbers(const std::string& text) {
  std::vector<double> values;
  for (const std::string& word : split(text)) {
    values.push_back(std::stod(word));
  }
  return values;
}

/// Overrides of the core's options, from --try=name:value.
std::map<std::string, double>& option_overrides() {
  static std::map<std::string, double> values;
  return values;
}

void apply_option_overrides(gateway::gateway_options& options) {
  auto& overrides = option_overrides();
  const auto set = [&overrides](const char* name, const auto& setter) {
    if (const auto found = overrides.find(name); found != overrides.end()) {
      setter(found->second);
    }
  };
  const auto milliseconds = [](double value) {
    return base::duration(static_cast<std::int64_t>(value * 1e3));
  };
  set("fade", [&](double value) { options.routing.report_decay_time = milliseconds(value); });
  set("trust", [&](double value) { options.routing.report_weight = value; });
  set("hedge-share", [&](double value) { options.hedge.share = value; });
  set("hedge-quantile", [&](double value) { options.routing.hedge_quantile = value; });
  set("hedge-factor", [&](double value) { options.hedge.delay_factor = value; });
  set("waiting", [&](double value) {
    options.routing.waiting_per_upstream = static_cast<std::uint32_t>(value);
  });
  set("correlation", [&](double value) { options.routing.full_correlation = value; });
  set("correlation-weight", [&](double value) { options.routing.correlation_weight = value; });
  set("overdue-weight", [&](double value) { options.routing.overdue_weight = value; });
  set("overdue-after", [&](double value) { options.routing.overdue_after = value; });
  set("warm-up", [&](double value) { options.routing.warm_up = milliseconds(value); });
}

bench_options parse(int count, char** arguments) {
  bench_options options;
  const std::map<std::string, std::function<void(const std::string&)>> setters{
      {"--faults", [&](const std::string& text) { options.faults = split(text); }},
      {"--loads", [&](const std::string& text) { options.loads = numbers(text); }},
      {"--slots", [&](const std::string& text) { options.slots = numbers(text); }},
      {"--delays", [&](const std::string& text) { options.delays = numbers(text); }},
      {"--policies", [&](const std::string& text) { options.policies = split(text); }},
      {"--requests",
       [&](const std::string& text) {
         options.requests = static_cast<std::uint32_t>(std::stoul(text));
       }},
      {"--seeds",
       [&](const std::string& text) {
         options.seeds = static_cast<std::uint32_t>(std::stoul(text));
       }},
      {"--idempotent", [&](const std::string& text) { options.idempotent = std::stod(text); }},
      {"--try",
       [&](const std::string& text) {
         for (const std::string& word : split(text)) {
           const auto colon = word.find(':');
           option_overrides()[word.substr(0, colon)] = std::stod(word.substr(colon + 1));
         }
       }},
      {"--work-per-attempt",
       [&](const std::string& text) { options.work_per_attempt = text == "yes"; }}};
  for (int index = 1; index < count; ++index) {
    const std::string word = arguments[index];
    const auto equals = word.find('=');
    const auto found = setters.find(word.substr(0, equals));
    if (equals == std::string::npos || found == setters.end()) {
      std::fprintf(stderr, "unknown option %s, expected --name=value\n", word.c_str());
      std::exit(2);
    }
    found->second(word.substr(equals + 1));
  }
  return options;
}

struct row {
  std::string title;
  std::string policy;
  std::vector<fleet_result> results;
  std::vector<std::function<fleet_result()>> runs;
};

std::vector<named_policy> chosen_policies(const bench_options& options) {
  std::vector<named_policy> all{{"ideal", {}}};
  for (named_policy& policy : baseline_policies()) {
    all.push_back(std::move(policy));
  }
  gateway::gateway_options core_options;
  core_options.routing.region = base::region_id("south");
  apply_option_overrides(core_options);
  all.push_back({"ours", core_policy(core_options)});
  std::erase_if(all, [&options](const named_policy& policy) {
    const auto& names = options.policies;
    return !names.empty() && std::find(names.begin(), names.end(), policy.name) == names.end();
  });
  return all;
}

void add_cell(std::vector<row>& rows,
              const bench_options& options,
              fleet_options cell,
              const std::string& title) {
  for (const named_policy& policy : chosen_policies(options)) {
    if (!policy.make && cell.injected_fault != fault::steady &&
        cell.injected_fault != fault::slow) {
      continue;
    }
    row entry{title, policy.name, std::vector<fleet_result>(options.seeds), {}};
    for (cell.seed = 1; cell.seed <= options.seeds; ++cell.seed) {
      entry.runs.emplace_back(
          [cell, make = policy.make] { return make ? run_fleet(cell, make) : run_ideal(cell); });
    }
    rows.push_back(std::move(entry));
  }
}

std::vector<row> make_rows(const bench_options& options) {
  std::vector<row> rows;
  for (const std::string& name : options.faults) {
    for (const double slots : options.slots) {
      for (const double load : options.loads) {
        for (const double delay : options.delays) {
          fleet_options cell;
          cell.injected_fault = fault_names().at(name);
          cell.slots = static_cast<std::uint32_t>(slots);
          cell.load = load / 100;
          cell.report_delay = std::chrono::milliseconds(static_cast<int>(delay));
          cell.requests = options.requests;
          cell.idempotent_share = options.idempotent / 100;
          cell.work_per_attempt = options.work_per_attempt;
          char title[64];
          std::snprintf(title, sizeof title, "%-10s %1.0f %3.0f %3.0f", name.c_str(), slots, load,
                        delay);
          add_cell(rows, options, cell, title);
        }
      }
    }
  }
  return rows;
}

void run_all(std::vector<row>& rows) {
  std::vector<std::pair<row*, std::size_t>> jobs;
  for (row& entry : rows) {
    for (std::size_t run = 0; run < entry.runs.size(); ++run) {
      jobs.emplace_back(&entry, run);
    }
  }
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> pool;
  for (std::size_t thread = 0; thread < threads; ++thread) {
    pool.emplace_back([&] {
      for (std::size_t job = next++; job < jobs.size(); job = next++) {
        jobs[job].first->results[jobs[job].second] = jobs[job].first->runs[jobs[job].second]();
      }
    });
  }
  for (std::thread& thread : pool) {
    thread.join();
  }
}

double quantile(const fleet_result& result, double share) {
  if (result.latencies.empty()) {
    return 0;
  }
  const double last = static_cast<double>(result.latencies.size() - 1);
  return base::to_seconds(result.latencies[static_cast<std::size_t>(share * last)]) * 1e3;
}

using metric = std::function<double(const fleet_result&)>;

std::vector<double> sorted(const row& entry, const metric& extract) {
  std::vector<double> values;
  values.reserve(entry.results.size());
  for (const fleet_result& result : entry.results) {
    values.push_back(extract(result));
  }
  std::sort(values.begin(), values.end());
  return values;
}

double median(const row& entry, const metric& extract) {
  const std::vector<double> values = sorted(entry, extract);
  return values[values.size() / 2];
}

double share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void print(const row& entry) {
  const auto p99 = sorted(entry, [](const fleet_result& each) { return quantile(each, 0.99); });
  std::printf(
      "%-20s %-15s %7.1f %7.1f [%6.1f-%6.1f] %8.1f %6.2f %6.2f %6.3f %6.2f %6.2f\n",
      entry.title.c_str(), entry.policy.c_str(),
      median(entry, [](const fleet_result& each) { return quantile(each, 0.5); }),
      p99[p99.size() / 2], p99.front(), p99.back(),
      median(entry, [](const fleet_result& each) { return quantile(each, 0.999); }),
      median(entry, [](const fleet_result& each) { return share(each.shed, each.calls); }),
      median(entry, [](const fleet_result& each) { return share(each.errors, each.calls); }),
      median(entry,
             [](const fleet_result& each) { return share(each.attempts, each.calls) / 100; }),
      median(entry, [](const fleet_result& each) { return share(each.cancelled, each.calls); }),
      median(entry, [](const fleet_result& each) { return share(each.remote, each.attempts); }));
}

}  // namespace
}  // namespace catkintack::bench

int main(int count, char** arguments) {
  using namespace catkintack::bench;
  const bench_options options = parse(count, arguments);
  std::vector<row> rows = make_rows(options);
  run_all(rows);
  std::printf("Medians of %u seeds, %u requests each; ms and %%.\n", options.seeds,
              options.requests);
  std::printf("%-20s %-15s %7s %7s %15s %8s %6s %6s %6s %6s %6s\n", "fault slots load delay",
              "policy", "p50", "p99", "p99 spread", "p99.9", "shed", "errors", "att/rq", "cancel",
              "remote");
  for (const row& entry : rows) {
    print(entry);
  }
  return 0;
}
