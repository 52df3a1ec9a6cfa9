#include "catkintack/cli/admin_client.hpp"

#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "catkintack/net/host_list.hpp"
#include "catkintack/net/http_fetch.hpp"

namespace catkintack::cli {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

constexpr base::duration host_list_timeout = std::chrono::seconds(2);
constexpr int status_ok = 200;

net::host_list fetch_host_list_or_empty(const base::address& where) {
  return leaf::try_handle_all([&] { return net::fetch_host_list(where, host_list_timeout); },
                              [] { return net::host_list{}; });
}

std::optional<std::string> get(const base::address& where, const std::string& path) {
  net::fetch_result answer = net::fetch({.where = where, .target = path});
  if (answer.status != net::http_exchange_status::complete || answer.response.status != status_ok) {
    return std::nullopt;
  }
  return std::move(answer.response.body);
}

host_report fetch_host_report(const membership::gateway_record& host) {
  host_report report{host.host, false, {}};
  const json value = json::parse(get(host.admin, "/status").value_or(""), nullptr, false);
  if (!value.is_object()) {
    return report;
  }
  report.reachable = true;
  for (const config::list_kind kind : config::all_lists) {
    const std::string name = to_string(kind);
    report.in_force.at(config::index_of(kind)) = {
        base::list_version(value.value(name, std::uint64_t{0})),
        base::edit_id(value.value(name + "_edit", std::uint64_t{0}))};
  }
  return report;
}

}  // namespace

std::vector<host_report> fetch_host_reports(const base::address& host_list) {
  std::vector<host_report> reports;
  for (const membership::gateway_record& host : fetch_host_list_or_empty(host_list).gateways) {
    if (!host.leaving) {
      reports.push_back(fetch_host_report(host));
    }
  }
  return reports;
}

std::set<std::string> fetch_services(const base::address& host_list) {
  std::set<std::string> services;
  for (const routing::upstream_record& upstream : fetch_host_list_or_empty(host_list).upstreams) {
    services.insert(upstream.service.value());
  }
  return services;
}

std::optional<std::string> fetch_list(const base::address& host_list,
                                      const base::host_id& host,
                                      config::list_kind kind) {
  for (const membership::gateway_record& record : fetch_host_list_or_empty(host_list).gateways) {
    if (record.host == host) {
      return get(record.admin, std::string("/lists/") + to_string(kind));
    }
  }
  return std::nullopt;
}

leaf::result<exit_code> run_status(const command_line& line, std::ostream& out) {
  BOOST_LEAF_AUTO(hosts, net::fetch_host_list(line.host_list, host_list_timeout));
  for (const membership::gateway_record& host : hosts.gateways) {
    const auto status = get(host.admin, "/status");
    const json unreachable = {{"host", host.host.value()}, {"reachable", false}};
    out << status.value_or(unreachable.dump()) << "\n";
  }
  return exit_code::ok;
}

}  // namespace catkintack::cli
