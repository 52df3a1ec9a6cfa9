/// @file
/// Stand-in for an upstream: slots, cold start, drain, shed, lying reports, slow-down, fail fast
/// and silence, each on command. Writes what ran to standard output when it stops.
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "catkintack/net/headers.hpp"
#include "catkintack/net/load_header.hpp"
#include "stand_in_server.hpp"

namespace {

namespace headers = catkintack::net::headers;
using catkintack::routing::load_report;
using catkintack::stand_ins::number_parameter;
using httplib::Request;
using httplib::Response;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;
constexpr std::uint64_t default_work_us = 2'000;
constexpr std::uint64_t no_deadline_ms = 3'600'000;

struct behaviour {
  std::atomic<std::uint64_t> work_us = default_work_us;
  std::atomic<std::uint64_t> slow_factor = 1;
  std::atomic<std::uint64_t> cold_requests = 0;  // Next requests that take ten times as long.
  std::atomic<std::uint64_t> max_queue = 1'000;
  std::atomic<bool> fail_fast = false;
  std::atomic<bool> lie = false;     // Report no load at all.
  std::atomic<bool> drain = false;   // Refuse new work, finish what runs.
  std::atomic<bool> silent = false;  // Take requests and never answer.
  std::atomic<bool> cut = false;     // Break the connection in the middle of answers.
};

class upstream {
 public:
  upstream(std::string name, std::uint32_t slots, const std::string& run_log)
      : name_(std::move(name)), slots_(slots), run_log_(run_log, std::ios::app) {}

  void add_routes(httplib::Server& server) {
    server.Get("/health", [](const Request&, Response& s) { s.set_content("ok\n", "text/plain"); });
    server.Get("/load", [this](const Request&, Response& s) { report(s); });
    server.Put("/admin/behaviour", [this](const Request& q, Response&) { set(q); });
    server.Get("/admin/runs", [this](const Request&, Response& s) { show_runs(s); });
    const auto work = [this](const Request& q, Response& s) { serve(q, s); };
    server.Get(".*", work);
    server.Post(".*", work);
    server.Put(".*", work);
    server.Delete(".*", work);
  }

  /// How often each request ran, as JSON.
  std::string runs_text() {
    const std::lock_guard lock(mutex_);
    nlohmann::json doubled = nlohmann::json::array();
    for (const auto& [id, count] : runs_) {
      if (count > 1 && !id.empty()) {
        doubled.push_back(id);
      }
    }
    return nlohmann::json{{"runs", runs_}, {"total", total_runs_}, {"doubled", doubled}}.dump();
  }

  /// Refuses new work and waits for what runs.
  void finish() {
    behaviour_.drain = true;
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return running_ == 0 && queued_ == 0; });
  }

 private:
  void serve(const Request& request, Response& response) {
    const auto left = number_header(request, headers::time_left, no_deadline_ms);
    const auto deadline = clock_type::now() + milliseconds(left);
    if (behaviour_.fail_fast) {
      response.status = status_server_error;
      report(response);
      return;
    }
    if (!take_slot(deadline)) {
      response.status = status_unavailable;
      response.set_header(headers::outcome, "not_run");
      report(response);
      return;
    }
    run(request, response);
    release_slot();
    report(response);
  }

  bool take_slot(clock_type::time_point deadline) {
    std::unique_lock lock(mutex_);
    if (behaviour_.drain || queued_ >= behaviour_.max_queue) {
      return false;
    }
    ++queued_;
    const bool free = changed_.wait_until(lock, deadline, [this] { return running_ < slots_; });
    --queued_;
    const bool taken = free && clock_type::now() < deadline;
    running_ += taken ? 1 : 0;
    changed_.notify_all();
    return taken;
  }

  void release_slot() {
    const std::lock_guard lock(mutex_);
    --running_;
    changed_.notify_all();
  }

  void run(const Request& request, Response& response) {
    const std::string id = request.get_header_value(headers::request_id);
    {
      const std::lock_guard lock(mutex_);
      ++runs_[id];
      run_log_ << id << "\n" << std::flush;  // Outlives a kill of this process.
      ++total_runs_;
    }
    std::uint64_t work = number_header(request, "Work-Us", behaviour_.work_us);
    work *= behaviour_.slow_factor;
    if (behaviour_.cold_requests > 0) {
      --behaviour_.cold_requests;
      constexpr std::uint64_t cold_factor = 10;
      work *= cold_factor;
    }
    std::this_thread::sleep_for(microseconds(work));
    while (behaviour_.silent) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    response.set_header("Served-By", name_);
    response.set_content("answer to " + id + ": " + request.body, "text/plain");
    if (behaviour_.cut) {
      catkintack::stand_ins::lose_answer(response);
    }
  }

  void report(Response& response) {
    load_report load;
    {
      const std::lock_guard lock(mutex_);
      load = {running_, queued_, behaviour_.drain};
    }
    if (behaviour_.lie) {
      load = {};
    }
    response.set_header(headers::load, catkintack::net::to_text(load));
  }

  static std::uint64_t number_header(const Request& request,
                                     const char* name,
                                     std::uint64_t otherwise) {
    if (!request.has_header(name)) {
      return otherwise;
    }
    return std::strtoull(request.get_header_value(name).c_str(), nullptr, 10);
  }

  void set(const Request& request) {
    behaviour& b = behaviour_;
    b.work_us = number_parameter(request, "work_us", b.work_us);
    b.slow_factor = number_parameter(request, "slow_factor", b.slow_factor);
    b.cold_requests = number_parameter(request, "cold_requests", b.cold_requests);
    b.max_queue = number_parameter(request, "max_queue", b.max_queue);
    b.fail_fast = number_parameter(request, "fail_fast", b.fail_fast ? 1 : 0) != 0;
    b.lie = number_parameter(request, "lie", b.lie ? 1 : 0) != 0;
    b.drain = number_parameter(request, "drain", b.drain ? 1 : 0) != 0;
    b.silent = number_parameter(request, "silent", b.silent ? 1 : 0) != 0;
    b.cut = number_parameter(request, "cut", b.cut ? 1 : 0) != 0;
  }

  void show_runs(Response& response) { response.set_content(runs_text(), "application/json"); }

  std::string name_;
  std::uint32_t slots_;
  std::ofstream run_log_;
  behaviour behaviour_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t total_runs_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const std::string usage = "IP:PORT NAME SLOTS [RUN_LOG]";
  const auto where = catkintack::stand_ins::address_argument(argc, argv, usage);
  constexpr int arguments = 4;
  if (argc != arguments && argc != arguments + 1) {
    std::cerr << "usage: " << argv[0] << " " << usage << "\n";
    return 2;
  }
  const auto slots = static_cast<std::uint32_t>(std::strtoul(argv[3], nullptr, 10));
  upstream served(argv[2], slots, argc > arguments ? argv[arguments] : "/dev/null");
  const int code = catkintack::stand_ins::serve(
      where, [&served](httplib::Server& server) { served.add_routes(server); },
      [&served] { served.finish(); });
  std::cout << served.runs_text() << std::endl;
  return code;
}
