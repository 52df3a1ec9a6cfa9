/// @file
/// Queries gateway hosts at their admin addresses.
#pragma once

#include <boost/leaf.hpp>
#include <iosfwd>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catkintack/cli/command.hpp"
#include "catkintack/cli/host_report.hpp"
#include "catkintack/config/list_kind.hpp"
#include "catkintack/membership/gateway_record.hpp"

namespace catkintack::cli {

/// @brief Queries all live hosts of the host list for the lists in force on them.
/// @param host_list Address of the host list server.
/// @return One report per host; empty when the host list is unavailable.
std::vector<host_report> fetch_host_reports(const base::address& host_list);

/// @brief Fetches the names of the services that have upstreams.
/// @param host_list Address of the host list server.
/// @return The names; empty when the host list is unavailable.
std::set<std::string> fetch_services(const base::address& host_list);

/// @brief Fetches a list in force on a host.
/// @param host_list Address of the host list server.
/// @return The text of the list, or nothing when the host is not listed or does not answer.
std::optional<std::string> fetch_list(const base::address& host_list,
                                      const base::host_id& host,
                                      config::list_kind kind);

/// @brief Runs `catkintack status`, which prints the status of each listed host on a line.
/// @return The exit code, or a net_error when the host list is unavailable or malformed.
boost::leaf::result<exit_code> run_status(const command_line& line, std::ostream& out);

}  // namespace catkintack::cli
