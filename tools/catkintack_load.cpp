/// @file
/// An open-loop load: sends requests at a set pace, checks every answer, and prints a summary.
/// Plays the platform's balancer: a target takes new requests only while its /readyz says so.
#include <httplib.h>
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
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
#include "catkintack/net/headers.hpp"

namespace {

namespace headers = catkintack::net::headers;
using catkintack::base::address;
using clock_type = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int exit_usage = 2;
constexpr int status_ok = 200;
constexpr milliseconds check_interval{100};
constexpr time_t answer_limit_seconds = 10;

struct target {
  address callers;
  address admin;
  std::atomic<bool> ready = false;
};

struct load_options {
  std::vector<std::unique_ptr<target>> targets;
  std::string path = "/label-press/labels";
  std::string key;
  std::string method = "POST";
  int rate_per_second = 200;
  int seconds = 10;
  int threads = 32;
};

struct tally {
  std::uint64_t sent = 0;
  std::uint64_t answers = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;  // The connection broke before a whole response.
  std::uint64_t wrong_body = 0;
  std::uint64_t no_target = 0;
  std::vector<std::int64_t> latencies_us;  // Of answers, from the scheduled time.

  void add(const tally& other) {
    sent += other.sent;
    answers += other.answers;
    not_run += other.not_run;
    unknown += other.unknown;
    cut += other.cut;
    wrong_body += other.wrong_body;
    no_target += other.no_target;
    latencies_us.insert(latencies_us.end(), other.latencies_us.begin(), other.latencies_us.end());
  }
};

std::unique_ptr<httplib::Client> connect_to(const address& where) {
  auto client = std::make_unique<httplib::Client>(where.ip, where.port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  client->set_connection_timeout(1);
  client->set_read_timeout(answer_limit_seconds);
  return client;
}

/// Sends the requests of one thread.
class sender {
 public:
  sender(load_options& options, int index) : options_(options), index_(index) {
    for (const auto& entry : options.targets) {
      clients_.push_back(connect_to(entry->callers));
      tokens_.emplace_back();
    }
  }

  void run(clock_type::time_point start) {
    const auto interval = microseconds(std::chrono::seconds(1)) / options_.rate_per_second;
    const int total = options_.rate_per_second * options_.seconds;
    for (int number = index_; number < total; number += options_.threads) {
      const auto due = start + interval * number;
      std::this_thread::sleep_until(due);
      send(number, due);
    }
  }

  const tally& counts() const { return counts_; }

 private:
  int choose_target(int number) const {
    const int size = static_cast<int>(options_.targets.size());
    for (int step = 0; step < size; ++step) {
      const int candidate = (number + step) % size;
      if (options_.targets[candidate]->ready) {
        return candidate;
      }
    }
    return -1;
  }

  void send(int number, clock_type::time_point due) {
    ++counts_.sent;
    const int chosen = choose_target(number);
    if (chosen < 0) {
      ++counts_.no_target;
      return;
    }
    if (tokens_[chosen].empty() && !learn_token(chosen)) {
      ++counts_.not_run;
      return;
    }
    httplib::Request request;
    request.method = options_.method;
    request.path = options_.path;
    const std::string id = tokens_[chosen] + "." + std::to_string(number);
    request.set_header(headers::request_id, id);
    request.set_header(headers::api_key, options_.key);
    request.body = "load " + std::to_string(number);
    const auto result = clients_[chosen]->send(request);
    if (!result) {
      count_failure(result.error());
      tokens_[chosen].clear();
      return;
    }
    count(*result, "answer to " + id + ": " + request.body, due);
  }

  bool learn_token(int chosen) {
    const auto result = clients_[chosen]->Options("/");
    if (result) {
      tokens_[chosen] = result->get_header_value(headers::token);
    }
    return !tokens_[chosen].empty();
  }

  void count_failure(httplib::Error error) {
    const bool refused =
        error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    ++(refused ? counts_.not_run : counts_.cut);
  }

  void count(const httplib::Response& response,
             const std::string& expected,
             clock_type::time_point due) {
    const std::string outcome = response.get_header_value(headers::outcome);
    if (outcome == "not_run") {
      ++counts_.not_run;
      return;
    }
    if (outcome == "unknown") {
      ++counts_.unknown;
      return;
    }
    ++counts_.answers;
    if (response.status == status_ok && response.body != expected) {
      ++counts_.wrong_body;
    }
    const auto spent = std::chrono::duration_cast<microseconds>(clock_type::now() - due);
    counts_.latencies_us.push_back(spent.count());
  }

  load_options& options_;
  int index_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
  std::vector<std::string> tokens_;
  tally counts_;
};

void check_once(target& checked) {
  httplib::Client client(checked.admin.ip, checked.admin.port);
  client.set_connection_timeout(0, microseconds(milliseconds(500)).count());
  const auto answer = client.Get("/readyz");
  checked.ready = answer && answer->status == status_ok;
}

std::int64_t quantile(std::vector<std::int64_t>& sorted, double part) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * part)];
}

void print(tally& total) {
  std::sort(total.latencies_us.begin(), total.latencies_us.end());
  constexpr double median = 0.5;
  constexpr double tail = 0.99;
  const nlohmann::json summary = {{"sent", total.sent},
                                  {"answers", total.answers},
                                  {"not_run", total.not_run},
                                  {"unknown", total.unknown},
                                  {"cut", total.cut},
                                  {"wrong_body", total.wrong_body},
                                  {"no_target", total.no_target},
                                  {"p50_us", quantile(total.latencies_us, median)},
                                  {"p99_us", quantile(total.latencies_us, tail)}};
  std::cout << summary.dump() << "\n";
}

void run(load_options& options) {
  std::atomic<bool> done = false;
  for (const auto& entry : options.targets) {
    check_once(*entry);
  }
  std::thread balancer([&] {
    while (!done) {
      for (const auto& entry : options.targets) {
        check_once(*entry);
      }
      std::this_thread::sleep_for(check_interval);
    }
  });
  std::vector<std::unique_ptr<sender>> senders;
  std::vector<std::thread> threads;
  const auto start = clock_type::now() + milliseconds(50);
  for (int index = 0; index < options.threads; ++index) {
    senders.push_back(std::make_unique<sender>(options, index));
    threads.emplace_back([&, index] { senders[index]->run(start); });
  }
  tally total;
  for (int index = 0; index < options.threads; ++index) {
    threads[index].join();
    total.add(senders[index]->counts());
  }
  done = true;
  balancer.join();
  print(total);
}

/// Reads "callers/admin,callers/admin"; false for malformed text.
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
  const char* path = options.path.c_str();
  const char* method = options.method.c_str();
  const poptOption table[] = {
      {"targets", '\0', POPT_ARG_STRING, &targets, 0, "CALLERS/ADMIN addresses", "A/B,..."},
      {"key", '\0', POPT_ARG_STRING, &key, 0, "The customer's key", "KEY"},
      {"path", '\0', POPT_ARG_STRING, &path, 0, "Path with service", "PATH"},
      {"method", '\0', POPT_ARG_STRING, &method, 0, "HTTP method", "METHOD"},
      {"rate", '\0', POPT_ARG_INT, &options.rate_per_second, 0, "Requests per second", "N"},
      {"seconds", '\0', POPT_ARG_INT, &options.seconds, 0, "Length", "N"},
      {"threads", '\0', POPT_ARG_INT, &options.threads, 0, "Requests at once", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("catkintack-load", argc, argv, table, 0), &poptFreeContext);
  const bool parsed = poptGetNextOpt(context.get()) == -1;
  options.key = key;
  options.path = path;
  options.method = method;
  const bool sane = options.rate_per_second > 0 && options.seconds > 0 && options.threads > 0;
  if (!parsed || !sane || !read_targets(targets, options)) {
    std::cerr << "catkintack-load: bad options; try --help\n";
    return exit_usage;
  }
  run(options);
  return 0;
}
