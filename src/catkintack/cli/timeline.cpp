#include "catkintack/cli/timeline.hpp"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <tuple>
#include <utility>
#include <vector>

#include "catkintack/daemon/event_json.hpp"
#include "catkintack/net/host_list.hpp"

namespace catkintack::cli {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration host_list_timeout = std::chrono::seconds(2);

std::vector<base::event_record> fetch_events(const membership::gateway_record& host) {
  httplib::Client client(host.admin.ip, host.admin.port);
  client.set_connection_timeout(1);
  std::vector<base::event_record> events;
  const auto answer = client.Get("/events");
  if (!answer) {
    return events;
  }
  const auto document = nlohmann::json::parse(answer->body, nullptr, false);
  if (document.is_array()) {
    for (const auto& value : document) {
      events.push_back(daemon::event_from_json(value));
    }
  }
  return events;
}

}  // namespace

leaf::result<exit_code> run_timeline(const command_line& line, std::ostream& out) {
  BOOST_LEAF_AUTO(hosts, net::fetch_host_list(line.host_list, host_list_timeout));
  std::vector<base::event_record> merged;
  for (const membership::gateway_record& host : hosts.gateways) {
    for (base::event_record& record : fetch_events(host)) {
      merged.push_back(std::move(record));
    }
  }
  std::sort(merged.begin(), merged.end(), [](const auto& left, const auto& right) {
    return std::tie(left.time, left.host, left.sequence) <
           std::tie(right.time, right.host, right.sequence);
  });
  for (const base::event_record& record : merged) {
    out << (line.json ? daemon::to_json(record).dump() : to_text(record)) << "\n";
  }
  return exit_code::ok;
}

}  // namespace catkintack::cli
