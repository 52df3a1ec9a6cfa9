/// @file
/// Measures the latency that a gateway host adds: sends the same open-loop load alternately to an
/// upstream directly and through one gateway host.
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

struct latency_options {
  address direct;
  address gateway;
  std::string service = "label-press";
  std::string key;
  std::vector<int> rates;
  int repetitions = 5;
  int seconds = 5;
  int threads = 32;
};

/// One phase of the load: a target, a path and a rate.
struct load_phase {
  address target;
  std::string path;
  int rate_per_second = 0;
};

struct phase_result {
  std::vector<std::int64_t> latencies_us;
  std::uint64_t failures = 0;
  std::string first_failure;  // Status and body, or error, of the first failed request.
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
};

std::int64_t quantile(std::vector<std::int64_t>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * fraction)];
}

/// Sends every N-th request of a phase over one connection, where N is the number of threads.
class phase_sender {
 public:
  phase_sender(const latency_options& options, const load_phase& phase, int index)
      : options_(options),
        phase_(phase),
        index_(index),
        client_(phase.target.ip, phase.target.port) {
    client_.set_tcp_nodelay(true);
    client_.set_keep_alive(true);
    send("warm-up");
  }

  void run(clock_type::time_point start) {
    const int total = phase_.rate_per_second * options_.seconds;
    const auto interval =
        std::chrono::nanoseconds(std::chrono::seconds(1)) / phase_.rate_per_second;
    for (int number = index_; number < total; number += options_.threads) {
      const auto due = start + interval * number;
      std::this_thread::sleep_until(due);
      if (send(std::to_string(number))) {
        const auto elapsed = std::chrono::duration_cast<microseconds>(clock_type::now() - due);
        result_.latencies_us.push_back(elapsed.count());
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
    request.path = phase_.path;
    request.set_header(headers::api_key, options_.key);
    request.set_header("Work-Us", "0");
    request.set_header("Number", number);
    const auto answer = client_.send(request);
    const bool succeeded = answer && answer->status == status_ok;
    if (!succeeded && result_.first_failure.empty()) {
      result_.first_failure = answer ? std::to_string(answer->status) + " " + answer->body
                                     : httplib::to_string(answer.error());
    }
    return succeeded;
  }

  const latency_options& options_;
  const load_phase& phase_;
  int index_;
  httplib::Client client_;
  phase_result result_;
};

phase_result run_phase(const latency_options& options, const load_phase& phase) {
  const auto count = static_cast<std::size_t>(options.threads);
  std::vector<std::unique_ptr<phase_sender>> senders;
  senders.reserve(count);
  for (int index = 0; index < options.threads; ++index) {
    senders.push_back(std::make_unique<phase_sender>(options, phase, index));
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
    const phase_result& sender_result = senders[index]->result();
    total.failures += sender_result.failures;
    if (total.first_failure.empty()) {
      total.first_failure = sender_result.first_failure;
    }
    total.latencies_us.insert(total.latencies_us.end(), sender_result.latencies_us.begin(),
                              sender_result.latencies_us.end());
  }
  total.p50_us = quantile(total.latencies_us, median);
  total.p99_us = quantile(total.latencies_us, tail);
  return total;
}

nlohmann::json summarize(std::vector<std::int64_t> values) {
  const std::int64_t median_value = quantile(values, median);
  return {{"median", median_value}, {"least", values.front()}, {"most", values.back()}};
}

void run_rate(const latency_options& options, int rate) {
  const load_phase direct{options.direct, "/", rate};
  const load_phase via_gateway{options.gateway, "/" + options.service + "/", rate};
  std::vector<std::int64_t> direct_p50;
  std::vector<std::int64_t> direct_p99;
  std::vector<std::int64_t> added_p50;
  std::vector<std::int64_t> added_p99;
  std::uint64_t direct_failures = 0;
  std::uint64_t gateway_failures = 0;
  for (int repetition = 0; repetition < options.repetitions; ++repetition) {
    const phase_result direct_result = run_phase(options, direct);
    const phase_result gateway_result = run_phase(options, via_gateway);
    direct_failures += direct_result.failures;
    gateway_failures += gateway_result.failures;
    for (const std::string& failure : {direct_result.first_failure, gateway_result.first_failure}) {
      if (!failure.empty()) {
        std::cerr << "first failure: " << failure << "\n";
      }
    }
    direct_p50.push_back(direct_result.p50_us);
    direct_p99.push_back(direct_result.p99_us);
    added_p50.push_back(gateway_result.p50_us - direct_result.p50_us);
    added_p99.push_back(gateway_result.p99_us - direct_result.p99_us);
  }
  const nlohmann::json line = {{"rate", rate},
                               {"direct_p50_us", summarize(direct_p50)},
                               {"direct_p99_us", summarize(direct_p99)},
                               {"added_p50_us", summarize(added_p50)},
                               {"added_p99_us", summarize(added_p99)},
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
  latency_options options;
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
  const bool valid = options.repetitions > 0 && options.seconds > 0 && options.threads > 0;
  if (!parsed || !valid || !direct_address || !gateway_address ||
      !read_rates(rates, options.rates)) {
    std::cerr << "catkintack-added-latency: invalid, missing or non-positive options; try --help\n";
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
