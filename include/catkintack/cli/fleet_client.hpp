/// @file
/// Asks gateway hosts over their admin addresses.
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

/// @brief Asks every live listed host which lists it has in force.
/// @param host_list The host list's address.
/// @return One report a host; none when the host list gives no answer.
std::vector<host_report> ask_hosts(const base::address& host_list);

/// @brief The services that have upstreams.
/// @param host_list The host list's address.
/// @return Their names; none when the host list gives no answer.
std::set<std::string> ask_services(const base::address& host_list);

/// @brief Asks a host for a list in force.
/// @param host_list The host list's address.
/// @param host The host.
/// @param kind The list.
/// @return The list's text, or nothing.
std::optional<std::string> ask_list(const base::address& host_list,
                                    const base::host_id& host,
                                    config::list_kind kind);

/// @brief The `status` command: every listed host's status, one a line.
/// @param line The command line.
/// @param out Takes the lines.
/// @return The exit code, or a net_error.
boost::leaf::result<exit_code> run_status(const command_line& line, std::ostream& out);

}  // namespace catkintack::cli
