/// @file
/// Stand-in for the platform's host list, with a configurable lag.
#include <httplib.h>

#include <chrono>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "stand_in_server.hpp"

namespace {

using catkintack::stand_ins::number_parameter;
using httplib::Request;
using httplib::Response;
using clock_type = std::chrono::steady_clock;

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

/// Serves the newest document that is at least as old as the configured lag, or the first one if
/// none is.
class host_list {
 public:
  void add_routes(httplib::Server& server) {
    server.Get("/v1/hosts", [this](const Request& q, Response& s) { show_hosts(q, s); });
    server.Put("/admin/hosts", [this](const Request& q, Response& s) { replace_hosts(q, s); });
    server.Put("/admin/state", [this](const Request& q, Response& s) { set_state(q, s); });
    server.Put("/admin/faults", [this](const Request& q, Response&) {
      const std::lock_guard lock(mutex_);
      lag_ = std::chrono::milliseconds(number_parameter(q, "lag_ms", 0));
    });
  }

 private:
  void show_hosts(const Request&, Response& response) {
    const std::lock_guard lock(mutex_);
    const auto newest_visible = clock_type::now() - lag_;
    while (versions_.size() > 1 && versions_[1].first <= newest_visible) {
      versions_.pop_front();
    }
    if (versions_.empty()) {
      response.status = status_not_found;
      return;
    }
    response.set_content(versions_.front().second.dump(), "application/json");
  }

  void replace_hosts(const Request& request, Response& response) {
    nlohmann::json document = nlohmann::json::parse(request.body, nullptr, false);
    if (document.is_discarded()) {
      response.status = status_bad_request;
      return;
    }
    const std::lock_guard lock(mutex_);
    versions_.emplace_back(clock_type::now(), std::move(document));
  }

  /// PUT /admin/state?name=NAME&state=live|leaving|gone sets the state of one host or upstream;
  /// `gone` removes it from the list.
  void set_state(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    if (versions_.empty()) {
      response.status = status_not_found;
      return;
    }
    nlohmann::json document = versions_.back().second;
    const std::string name = request.get_param_value("name");
    const std::string state = request.get_param_value("state");
    for (const auto& [list, key] : {std::pair{"gateways", "host"}, {"upstreams", "upstream"}}) {
      nlohmann::json remaining = nlohmann::json::array();
      for (nlohmann::json entry : document[list]) {
        if (entry[key] == name) {
          entry["state"] = state;
        }
        if (entry["state"] != "gone") {
          remaining.push_back(std::move(entry));
        }
      }
      document[list] = std::move(remaining);
    }
    versions_.emplace_back(clock_type::now(), std::move(document));
  }

  std::mutex mutex_;
  std::chrono::milliseconds lag_{0};
  std::deque<std::pair<clock_type::time_point, nlohmann::json>> versions_;
};

}  // namespace

int main(int argc, char** argv) {
  host_list list;
  return catkintack::stand_ins::serve(
      catkintack::stand_ins::address_argument(argc, argv, "IP:PORT"),
      [&list](httplib::Server& server) { list.add_routes(server); });
}
