/// @file
/// Stand-in for an upstream with slots and a queue. Cold start, draining, load shedding, false load
/// reports, slow-down, immediate failure and silence can be switched on at run time. On exit it
/// prints which requests ran.
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
constexpr std::uint64_t default_time_left_ms = 3'600'000;

struct behaviour {
  std::atomic<std::uint64_t> work_us = default_work_us;
  std::atomic<std::uint64_t> slow_factor = 1;
  std::atomic<std::uint64_t> cold_requests = 0;  // Next requests that take ten times as long.
  std::atomic<std::uint64_t> max_queue = 1'000;
  std::atomic<bool> fail_fast = false;  // Answer new requests with an error at once.
  std::atomic<bool> lie = false;        // Report zero load.
  std::atomic<bool> drain = false;      // Refuse new requests, finish running ones.
  std::atomic<bool> silent = false;     // Accept requests and respond only after it is cleared.
  std::atomic<bool> cut = false;        // Close the connection in the middle of responses.
};

class upstream {
 public:
  upstream(std::string name, std::uint32_t slots, const std::string& run_log)
      : name_(std::move(name)), slots_(slots), run_log_(run_log, std::ios::app) {}

  void add_routes(httplib::Server& server) {
    server.Get("/health", [](const Request&, Response& s) { s.set_content("ok\n", "text/plain"); });
    server.Get("/load", [this](const Request&, Response& s) { add_load_header(s); });
    server.Put("/admin/behaviour", [this](const Request& q, Response&) { set_behaviour(q); });
    server.Get("/admin/runs", [this](const Request&, Response& s) { show_runs(s); });
    const auto work = [this](const Request& q, Response& s) { serve(q, s); };
    server.Get(".*", work);
    server.Post(".*", work);
    server.Put(".*", work);
    server.Delete(".*", work);
  }

  /// Run count of each request id, the total, and the ids that ran more than once, as JSON.
  std::string runs_json() {
    const std::lock_guard lock(mutex_);
    nlohmann::json doubled = nlohmann::json::array();
    for (const auto& [id, count] : runs_) {
      if (count > 1 && !id.empty()) {
        doubled.push_back(id);
      }
    }
    return nlohmann::json{{"runs", runs_}, {"total", total_runs_}, {"doubled", doubled}}.dump();
  }

  /// Refuses new requests and waits until no request is running or queued.
  void drain_and_wait() {
    behaviour_.drain = true;
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return running_ == 0 && queued_ == 0; });
  }

 private:
  void serve(const Request& request, Response& response) {
    const auto time_left_ms = number_header(request, headers::time_left, default_time_left_ms);
    const auto deadline = clock_type::now() + milliseconds(time_left_ms);
    if (behaviour_.fail_fast) {
      response.status = status_server_error;
      add_load_header(response);
      return;
    }
    if (!acquire_slot(deadline)) {
      response.status = status_unavailable;
      response.set_header(headers::outcome, "not_run");
      add_load_header(response);
      return;
    }
    run_request(request, response);
    release_slot();
    add_load_header(response);
  }

  bool acquire_slot(clock_type::time_point deadline) {
    std::unique_lock lock(mutex_);
    if (behaviour_.drain || queued_ >= behaviour_.max_queue) {
      return false;
    }
    ++queued_;
    const bool slot_free =
        changed_.wait_until(lock, deadline, [this] { return running_ < slots_; });
    --queued_;
    const bool acquired = slot_free && clock_type::now() < deadline;
    running_ += acquired ? 1 : 0;
    changed_.notify_all();
    return acquired;
  }

  void release_slot() {
    const std::lock_guard lock(mutex_);
    --running_;
    changed_.notify_all();
  }

  void run_request(const Request& request, Response& response) {
    const std::string id = request.get_header_value(headers::request_id);
    {
      const std::lock_guard lock(mutex_);
      ++runs_[id];
      run_log_ << id << "\n" << std::flush;  // Flushed so that it survives a kill of this process.
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
      catkintack::stand_ins::truncate_response(response);
    }
  }

  void add_load_header(Response& response) {
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
                                     std::uint64_t fallback) {
    if (!request.has_header(name)) {
      return fallback;
    }
    return std::strtoull(request.get_header_value(name).c_str(), nullptr, 10);
  }

  void set_behaviour(const Request& request) {
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

  void show_runs(Response& response) { response.set_content(runs_json(), "application/json"); }

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
  const auto address = catkintack::stand_ins::address_argument(argc, argv, usage);
  constexpr int arguments = 4;
  if (argc != arguments && argc != arguments + 1) {
    std::cerr << "usage: " << argv[0] << " " << usage << "\n";
    return 2;
  }
  const auto slots = static_cast<std::uint32_t>(std::strtoul(argv[3], nullptr, 10));
  upstream instance(argv[2], slots, argc > arguments ? argv[arguments] : "/dev/null");
  const int code = catkintack::stand_ins::serve(
      address, [&instance](httplib::Server& server) { instance.add_routes(server); },
      [&instance] { instance.drain_and_wait(); });
  std::cout << instance.runs_json() << std::endl;
  return code;
}
