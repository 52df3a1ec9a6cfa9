/// @file
/// Open-loop load generator: sends requests at a fixed rate, checks every response, and prints a
/// summary. Like the platform's balancer, it sends new requests only to targets whose /readyz
/// reports ready.
#include <httplib.h>
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "catkintack/base/address.hpp"
#include "load_sender.hpp"

namespace {

using catkintack::tools::clock_type;
using catkintack::tools::load_counts;
using catkintack::tools::load_options;
using catkintack::tools::load_sender;
using catkintack::tools::target;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int exit_usage = 2;
constexpr int status_ok = 200;
constexpr milliseconds readiness_check_interval{100};
constexpr milliseconds readiness_check_timeout{500};

void check_readiness(target& checked_target) {
  httplib::Client client(checked_target.admin.ip, checked_target.admin.port);
  client.set_connection_timeout(0, microseconds(readiness_check_timeout).count());
  client.set_read_timeout(0, microseconds(readiness_check_timeout).count());
  const auto answer = client.Get("/readyz");
  checked_target.ready = answer && answer->status == status_ok;
}

std::int64_t quantile(std::vector<std::int64_t>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * fraction)];
}

void print_summary(load_counts& total) {
  std::sort(total.latencies_us.begin(), total.latencies_us.end());
  constexpr double median = 0.5;
  constexpr double tail = 0.99;
  const nlohmann::json summary = {{"sent", total.sent},
                                  {"answers", total.answers},
                                  {"not_run", total.not_run},
                                  {"unknown", total.unknown},
                                  {"cut", total.cut},
                                  {"cut_once", total.cut_once},
                                  {"repeated", total.repeated},
                                  {"wrong_body", total.wrong_body},
                                  {"no_target", total.no_target},
                                  {"p50_us", quantile(total.latencies_us, median)},
                                  {"p99_us", quantile(total.latencies_us, tail)}};
  std::cout << summary.dump() << "\n";
}

std::string format_not_run_ids(const load_counts& total) {
  std::string lines;
  for (const std::string& id : total.not_run_ids) {
    lines += id + "\n";
  }
  return lines;
}

void run(load_options& options) {
  std::atomic<bool> finished = false;
  for (const auto& entry : options.targets) {
    check_readiness(*entry);
  }
  std::thread readiness_checker([&] {
    while (!finished) {
      for (const auto& entry : options.targets) {
        check_readiness(*entry);
      }
      std::this_thread::sleep_for(readiness_check_interval);
    }
  });
  std::vector<std::unique_ptr<load_sender>> senders;
  std::vector<std::thread> threads;
  const auto start = clock_type::now() + milliseconds(50);
  for (int index = 0; index < options.threads; ++index) {
    senders.push_back(std::make_unique<load_sender>(options, index));
    threads.emplace_back([&, index] { senders[index]->run(start); });
  }
  load_counts total;
  for (int index = 0; index < options.threads; ++index) {
    threads[index].join();
    total.add(senders[index]->counts());
  }
  finished = true;
  readiness_checker.join();
  print_summary(total);
  std::ofstream(options.not_run_file) << format_not_run_ids(total);
}

/// Parses "callers/admin,callers/admin"; returns false for malformed text.
bool read_targets(const std::string& text, load_options& options) {
  std::istringstream pairs(text);
  std::string pair;
  while (std::getline(pairs, pair, ',')) {
    const auto slash = pair.find('/');
    if (slash == std::string::npos) {
      return false;
    }
    const auto callers = catkintack::base::parse_address(pair.substr(0, slash));
    const auto admin = catkintack::base::parse_address(pair.substr(slash + 1));
    if (!callers || !admin) {
      return false;
    }
    auto entry = std::make_unique<target>();
    entry->callers = *callers;
    entry->admin = *admin;
    options.targets.push_back(std::move(entry));
  }
  return !options.targets.empty();
}

}  // namespace

int main(int argc, const char** argv) {
  load_options options;
  const char* targets = "";
  const char* key = "";
  const char* not_run_file = "/dev/null";
  const char* path = options.path.c_str();
  const char* method = options.method.c_str();
  const poptOption table[] = {
      {"targets", '\0', POPT_ARG_STRING, &targets, 0, "CALLERS/ADMIN addresses", "A/B,..."},
      {"key", '\0', POPT_ARG_STRING, &key, 0, "The customer's key", "KEY"},
      {"path", '\0', POPT_ARG_STRING, &path, 0, "Path with service", "PATH"},
      {"method", '\0', POPT_ARG_STRING, &method, 0, "HTTP method", "METHOD"},
      {"rate", '\0', POPT_ARG_INT, &options.rate_per_second, 0, "Requests per second", "N"},
      {"seconds", '\0', POPT_ARG_INT, &options.seconds, 0, "Length", "N"},
      {"repeats", '\0', POPT_ARG_INT, &options.repeats, 0, "Repeats at other hosts", "N"},
      {"not-run-file", '\0', POPT_ARG_STRING, &not_run_file, 0, "Lists ids told not_run", "FILE"},
      {"threads", '\0', POPT_ARG_INT, &options.threads, 0, "Requests at once", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("catkintack-load", argc, argv, table, 0), &poptFreeContext);
  const bool parsed = poptGetNextOpt(context.get()) == -1;
  options.key = key;
  options.not_run_file = not_run_file;
  options.path = path;
  options.method = method;
  const bool valid = options.rate_per_second > 0 && options.seconds > 0 && options.threads > 0;
  if (!parsed || !valid || !read_targets(targets, options)) {
    std::cerr << "catkintack-load: invalid, missing or non-positive options; try --help\n";
    return exit_usage;
  }
  run(options);
  return 0;
}
