/// @file
/// Stand-in for the platform's store: compare-and-swap, leases, watches and fault injection.
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "stand_in_server.hpp"

namespace {

using catkintack::stand_ins::number_parameter;
using httplib::Request;
using httplib::Response;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr std::uint64_t max_watch_ms = 60'000;

struct stored_value {
  std::string value;
  std::uint64_t revision = 0;
};

struct lease {
  std::string holder;
  clock_type::time_point expires_at{};
};

struct faults {
  std::atomic<bool> outage = false;
  std::atomic<std::uint64_t> delay_ms = 0;
  std::atomic<std::uint64_t> lose_answers = 0;  // Next writes whose response is truncated.
  std::atomic<bool> silent_watch = false;       // Watches do not report changes.
};

class store {
 public:
  void add_routes(httplib::Server& server) {
    server.Get(R"(/v1/kv/(.+))",
               [this](const Request& q, Response& s) { with_faults(q, s, "read", &store::read); });
    server.Put(R"(/v1/kv/(.+))", [this](const Request& q, Response& s) {
      with_faults(q, s, "write", &store::compare_and_swap);
    });
    server.Get(R"(/v1/watch/(.+))", [this](const Request& q, Response& s) {
      with_faults(q, s, "watch", &store::watch);
    });
    server.Put(R"(/v1/lease/(.+))", [this](const Request& q, Response& s) {
      with_faults(q, s, "lease", &store::acquire_lease);
    });
    server.Get(R"(/v1/leases/(.*))", [this](const Request& q, Response& s) {
      with_faults(q, s, "read", &store::list_leases);
    });
    server.Put("/admin/faults", [this](const Request& q, Response& s) { set_faults(q, s); });
    server.Get("/admin/counts", [this](const Request& q, Response& s) { show_counts(q, s); });
    server.Put(R"(/admin/restore/(.+))", [this](const Request& q, Response& s) { restore(q, s); });
  }

 private:
  using operation = void (store::*)(const Request&, Response&);

  void with_faults(const Request& request, Response& response, const char* kind, operation run) {
    {
      const std::lock_guard lock(mutex_);
      ++counts_[kind];
    }
    std::this_thread::sleep_for(milliseconds(faults_.delay_ms.load()));
    if (faults_.outage) {
      response.status = status_unavailable;
      return;
    }
    (this->*run)(request, response);
  }

  static void respond_with(Response& response, const stored_value& entry) {
    response.set_header("Store-Revision", std::to_string(entry.revision));
    response.set_content(entry.value, "application/json");
  }

  void read(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    const auto found = values_.find(request.matches[1]);
    if (found == values_.end()) {
      response.status = status_not_found;
      return;
    }
    respond_with(response, found->second);
  }

  void compare_and_swap(const Request& request, Response& response) {
    {
      const std::lock_guard lock(mutex_);
      const std::string key = request.matches[1];
      const auto found = values_.find(key);
      const std::uint64_t current = found == values_.end() ? 0 : found->second.revision;
      if (number_parameter(request, "revision", 0) != current) {
        response.status = status_conflict;
        return;
      }
      values_[key] = {request.body, current + 1};
      respond_with(response, {"", current + 1});
    }
    changed_.notify_all();
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      catkintack::stand_ins::truncate_response(response);
    }
  }

  void watch(const Request& request, Response& response) {
    const std::string key = request.matches[1];
    const std::uint64_t after = number_parameter(request, "after", 0);
    const auto wait =
        milliseconds(std::min(max_watch_ms, number_parameter(request, "wait_ms", max_watch_ms)));
    std::unique_lock lock(mutex_);
    const auto has_newer_value = [&] {
      return !faults_.silent_watch && values_[key].revision > after;
    };
    if (!changed_.wait_for(lock, wait, has_newer_value)) {
      response.status = status_no_content;
      return;
    }
    respond_with(response, values_[key]);
  }

  void acquire_lease(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    lease& entry = leases_[request.matches[1]];
    const auto now = clock_type::now();
    if (entry.expires_at > now && entry.holder != request.body) {
      response.status = status_conflict;
      response.set_content(entry.holder, "text/plain");
      return;
    }
    entry = {request.body, now + milliseconds(number_parameter(request, "ttl_ms", 0))};
    response.set_content(entry.holder, "text/plain");
  }

  void list_leases(const Request& request, Response& response) {
    const std::string prefix = request.matches[1];
    const std::lock_guard lock(mutex_);
    nlohmann::json held_leases = nlohmann::json::object();
    for (const auto& [key, entry] : leases_) {
      if (key.rfind(prefix, 0) == 0 && entry.expires_at > clock_type::now()) {
        held_leases[key] = entry.holder;
      }
    }
    response.set_content(held_leases.dump(), "application/json");
  }

  void set_faults(const Request& request, Response&) {
    faults_.outage = number_parameter(request, "outage", faults_.outage ? 1 : 0) != 0;
    faults_.delay_ms = number_parameter(request, "delay_ms", faults_.delay_ms);
    faults_.lose_answers = number_parameter(request, "lose_answers", faults_.lose_answers);
    faults_.silent_watch =
        number_parameter(request, "silent_watch", faults_.silent_watch ? 1 : 0) != 0;
  }

  /// Sets a key to a given value and revision, as a store restored from a backup would.
  void restore(const Request& request, Response&) {
    const std::lock_guard lock(mutex_);
    values_[request.matches[1]] = {request.body, number_parameter(request, "revision", 1)};
  }

  void show_counts(const Request&, Response& response) {
    const std::lock_guard lock(mutex_);
    response.set_content(nlohmann::json(counts_).dump(), "application/json");
  }

  faults faults_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, stored_value> values_;
  std::map<std::string, lease> leases_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace

int main(int argc, char** argv) {
  store served;
  return catkintack::stand_ins::serve(
      catkintack::stand_ins::address_argument(argc, argv, "IP:PORT"),
      [&served](httplib::Server& server) { served.add_routes(server); });
}
