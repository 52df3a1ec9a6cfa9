#include "catkintack/cli/timeline.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>
#include <tuple>
#include <utility>

#include "catkintack/base/breach.hpp"
#include "catkintack/cli/timeline_svg.hpp"
#include "catkintack/daemon/event_json.hpp"
#include "catkintack/net/host_list.hpp"
#include "catkintack/net/http_fetch.hpp"

namespace catkintack::cli {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration host_list_timeout = std::chrono::seconds(2);
constexpr base::duration follow_interval = std::chrono::milliseconds(500);
constexpr base::duration host_timeout = std::chrono::seconds(1);

/// Position after the last event read from a host.
struct read_position {
  base::incarnation run;
  std::uint64_t sequence = 0;
};

std::vector<base::event_record> parse_events(const std::string& text) {
  std::vector<base::event_record> events;
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_array()) {
    return events;
  }
  for (const auto& value : document) {
    events.push_back(daemon::event_from_json(value));
  }
  return events;
}

std::vector<base::event_record> fetch_events(const membership::gateway_record& host,
                                             base::incarnation run,
                                             std::uint64_t since) {
  const net::fetch_result answer =
      net::fetch({.where = host.admin,
                  .target = "/events?since=" + std::to_string(since) +
                            "&incarnation=" + std::to_string(run.value()),
                  .connect_timeout = host_timeout,
                  .timeout = host_timeout});
  if (answer.status != net::http_exchange_status::complete) {
    return {};
  }
  try {
    return parse_events(answer.response.body);
  } catch (const nlohmann::json::exception&) {
    return {};
  }
}

/// Reads new events of all hosts; keeps the read position of each host.
class event_reader {
 public:
  explicit event_reader(const timeline_hooks& hooks) : hooks_(hooks) {}

  leaf::result<std::vector<base::event_record>> read_new() {
    BOOST_LEAF_AUTO(hosts, hooks_.hosts());
    std::vector<base::event_record> new_events;
    for (const membership::gateway_record& host : hosts) {
      read_host(host, new_events);
    }
    return merge_events(std::move(new_events));
  }

 private:
  void read_host(const membership::gateway_record& host,
                 std::vector<base::event_record>& new_events) {
    read_position& seen = seen_[host.host];
    for (base::event_record& record : hooks_.events(host, seen.run, seen.sequence)) {
      seen = {record.run, record.sequence};
      new_events.push_back(std::move(record));
    }
  }

  const timeline_hooks& hooks_;
  std::map<base::host_id, read_position> seen_;
};

void write_lines(const timeline_options& options,
                 const std::vector<base::event_record>& events,
                 std::ostream& out) {
  for (const base::event_record& record : events) {
    if (matches(options, record)) {
      out << (options.json ? daemon::to_json(record).dump() : to_text(record)) << "\n";
    }
  }
  out.flush();
}

leaf::result<void> write_svg(const timeline_options& options,
                             std::vector<base::event_record> events) {
  std::erase_if(events,
                [&options](const base::event_record& record) { return !matches(options, record); });
  std::ofstream file(options.svg_path);
  file << timeline_svg(events);
  file.close();
  if (!file) {
    return leaf::new_error(timeline_error{"cannot write \"" + options.svg_path + "\""});
  }
  return {};
}

}  // namespace

bool matches(const timeline_options& options, const base::event_record& record) {
  const auto passes = [](const std::string& filter, const std::string& value) {
    return filter.empty() || filter == value;
  };
  return passes(options.request, record.request.value()) &&
         passes(options.host, record.host.value()) && passes(options.part, record.part) &&
         (!options.breaches_only || base::is_breach(record.kind));
}

std::vector<base::event_record> merge_events(std::vector<base::event_record> events) {
  std::sort(events.begin(), events.end(), [](const auto& left, const auto& right) {
    return std::tie(left.time, left.host, left.run, left.sequence) <
           std::tie(right.time, right.host, right.run, right.sequence);
  });
  return events;
}

timeline_hooks http_timeline_hooks(const base::address& host_list) {
  timeline_hooks hooks;
  hooks.hosts = [host_list]() -> leaf::result<std::vector<membership::gateway_record>> {
    BOOST_LEAF_AUTO(hosts, net::fetch_host_list(host_list, host_list_timeout));
    return hosts.gateways;
  };
  hooks.events = fetch_events;
  hooks.wait = [] {
    std::this_thread::sleep_for(follow_interval);
    return true;
  };
  return hooks;
}

leaf::result<void> write_timeline(const timeline_options& options,
                                  const timeline_hooks& hooks,
                                  std::ostream& out) {
  if (options.follow && !options.svg_path.empty()) {
    return leaf::new_error(timeline_error{"timeline takes --follow or --svg, not both"});
  }
  event_reader reader(hooks);
  BOOST_LEAF_AUTO(events, reader.read_new());
  if (!options.svg_path.empty()) {
    return write_svg(options, std::move(events));
  }
  write_lines(options, events, out);
  while (options.follow && out && hooks.wait()) {
    BOOST_LEAF_AUTO(new_events, reader.read_new());
    write_lines(options, new_events, out);
  }
  return {};
}

leaf::result<exit_code> run_timeline(const command_line& line, std::ostream& out) {
  timeline_options options = line.timeline;
  options.json = line.json;
  BOOST_LEAF_CHECK(write_timeline(options, http_timeline_hooks(line.host_list), out));
  return exit_code::ok;
}

}  // namespace catkintack::cli
