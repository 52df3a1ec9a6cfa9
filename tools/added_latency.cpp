/// @file
/// Measures what a gateway host adds to a request: the same open-loop load straight to an upstream
/// and through one gateway host, in alternation.
#include <httplib.h>
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/net/headers.hpp"

namespace {

namespace headers = catkintack::net::headers;
using catkintack::base::address;
using clock_type = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr int exit_usage = 2;
constexpr int status_ok = 200;
constexpr double median = 0.5;
constexpr double tail = 0.99;

struct bench_options {
  address direct;
  address gateway;
  std::string service = "label-press";
  std::string key;
  std::vector<int> rates;
  int repetitions = 5;
  int seconds = 5;
  int threads = 32;
};

/// One phase of the load.
struct phase {
  address where;
  std::string path;
  int rate_per_second = 0;
};

struct phase_result {
  std::vector<std::int64_t> latencies_us;
  std::uint64_t failures = 0;
  std::string first_failure;  // What the first failed request got.
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
};

std::int64_t quantile(std::vector<std::int64_t>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * part)];
}

/// Sends every threads-th request of a phase over one connection.
class sender {
 public:
  sender(const bench_options& options, const phase& load, int index)
      : options_(options), load_(load), index_(index), client_(load.where.ip, load.where.port) {
    client_.set_tcp_nodelay(true);
    client_.set_keep_alive(true);
    send("warm-up");
  }

  void run(clock_type::time_point start) {
    const int total = load_.rate_per_second * options_.seconds;
    const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / load_.rate_per_second;
    for (int number = index_; number < total; number += options_.threads) {
      const auto due = start + interval * number;
      std::this_thread::sleep_until(due);
      if (send(std::to_string(number))) {
        const auto spent = std::chrono::duration_cast<microseconds>(clock_type::now() - due);
        result_.latencies_us.push_back(spent.count());
      } else {
        ++result_.failures;
      }
    }
  }

  const phase_result& result() const { return result_; }

 private:
  bool send(const std::string& number) {
    httplib::Request request;
    request.method = "GET";
    request.path = load_.path;
    request.set_header(headers::api_key, options_.key);
    request.set_header("Work-Us", "0");
    request.set_header("Number", number);
    const auto answer = client_.send(request);
    const bool full = answer && answer->status == status_ok;
    if (!full && result_.first_failure.empty()) {
      result_.first_failure = answer ? std::to_string(answer->status) + " " + answer->body
                                     : httplib::to_string(answer.error());
    }
    return full;
  }

  const bench_options& options_;
  const phase& load_;
  int index_;
  httplib::Client client_;
  phase_result result_;
};

phase_result run_phase(const bench_options& options, const phase& load) {
  const auto count = static_cast<std::size_t>(options.threads);
  std::vector<std::unique_ptr<sender>> senders;
  senders.reserve(count);
  for (int index = 0; index < options.threads; ++index) {
    senders.push_back(std::make_unique<sender>(options, load, index));
  }
  std::vector<std::thread> threads;
  threads.reserve(count);
  const auto start = clock_type::now() + std::chrono::milliseconds(50);
  for (const auto& entry : senders) {
    threads.emplace_back([&entry, start] { entry->run(start); });
  }
  phase_result total;
  for (std::size_t index = 0; index < threads.size(); ++index) {
    threads[index].join();
    const phase_result& part = senders[index]->result();
    total.failures += part.failures;
    if (total.first_failure.empty()) {
      total.first_failure = part.first_failure;
    }
    total.latencies_us.insert(total.latencies_us.end(), part.latencies_us.begin(),
                              part.latencies_us.end());
  }
  total.p50_us = quantile(total.latencies_us, median);
  total.p99_us = quantile(total.latencies_us, tail);
  return total;
}

nlohmann::json spread(std::vector<std::int64_t> values) {
  const std::int64_t middle = quantile(values, median);
  return {{"median", middle}, {"least", values.front()}, {"most", values.back()}};
}

void run_rate(const bench_options& options, int rate) {
  const phase direct{options.direct, "/", rate};
  const phase through{options.gateway, "/" + options.service + "/", rate};
  std::vector<std::int64_t> direct_p50;
  std::vector<std::int64_t> direct_p99;
  std::vector<std::int64_t> added_p50;
  std::vector<std::int64_t> added_p99;
  std::uint64_t direct_failures = 0;
  std::uint64_t gateway_failures = 0;
  for (int repetition = 0; repetition < options.repetitions; ++repetition) {
    const phase_result before = run_phase(options, direct);
    const phase_result after = run_phase(options, through);
    direct_failures += before.failures;
    gateway_failures += after.failures;
    for (const std::string& failure : {before.first_failure, after.first_failure}) {
      if (!failure.empty()) {
        std::cerr << "first failure: " << failure << "\n";
      }
    }
    direct_p50.push_back(before.p50_us);
    direct_p99.push_back(before.p99_us);
    added_p50.push_back(after.p50_us - before.p50_us);
    added_p99.push_back(after.p99_us - before.p99_us);
  }
  const nlohmann::json line = {{"rate", rate},
                               {"direct_p50_us", spread(direct_p50)},
                               {"direct_p99_us", spread(direct_p99)},
                               {"added_p50_us", spread(added_p50)},
                               {"added_p99_us", spread(added_p99)},
                               {"direct_failures", direct_failures},
                               {"gateway_failures", gateway_failures}};
  std::cout << line.dump() << std::endl;
}

bool read_rates(const std::string& text, std::vector<int>& rates) {
  std::istringstream stream(text);
  std::string word;
  while (std::getline(stream, word, ',')) {
    rates.push_back(std::atoi(word.c_str()));
  }
  return !rates.empty() && std::all_of(rates.begin(), rates.end(), [](int r) { return r > 0; });
}

}  // namespace

int main(int argc, const char** argv) {
  bench_options options;
  const char* direct = "";
  const char* gateway = "";
  const char* key = "";
  const char* rates = "1000,2000,4000,8000";
  const poptOption table[] = {
      {"direct", '\0', POPT_ARG_STRING, &direct, 0, "The upstream's address", "IP:PORT"},
      {"gateway", '\0', POPT_ARG_STRING, &gateway, 0, "The gateway host's address", "IP:PORT"},
      {"key", '\0', POPT_ARG_STRING, &key, 0, "The customer's key", "KEY"},
      {"rates", '\0', POPT_ARG_STRING, &rates, 0, "Requests per second", "N,N"},
      {"repetitions", '\0', POPT_ARG_INT, &options.repetitions, 0, "Pairs per rate", "N"},
      {"seconds", '\0', POPT_ARG_INT, &options.seconds, 0, "Length of each half", "N"},
      {"threads", '\0', POPT_ARG_INT, &options.threads, 0, "Connections", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("catkintack-added-latency", argc, argv, table, 0), &poptFreeContext);
  const bool parsed = poptGetNextOpt(context.get()) == -1;
  const auto direct_address = catkintack::base::parse_address(direct);
  const auto gateway_address = catkintack::base::parse_address(gateway);
  const bool sane = options.repetitions > 0 && options.seconds > 0 && options.threads > 0;
  if (!parsed || !sane || !direct_address || !gateway_address ||
      !read_rates(rates, options.rates)) {
    std::cerr << "catkintack-added-latency: bad options; try --help\n";
    return exit_usage;
  }
  options.direct = *direct_address;
  options.gateway = *gateway_address;
  options.key = key;
  for (const int rate : options.rates) {
    run_rate(options, rate);
  }
  return 0;
}
