/// @file
/// Writing an edit and waiting until it is in force.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "catkintack/cli/command.hpp"
#include "catkintack/cli/environment.hpp"
#include "catkintack/config/edit_record.hpp"
#include "catkintack/config/list_document.hpp"

namespace catkintack::cli {

/// @brief Checks that no host has a newer list in force than the store holds.
/// @param document The store's list.
/// @param around Reaches the hosts.
/// @return Nothing, or a config_error naming the host and how to recover.
boost::leaf::result<void> check_store_is_newest(const config::list_document& document,
                                                const environment& around);

/// @brief Writes an edit, says so, and waits until it is in force.
/// @param kind The list.
/// @param line The command line; names the operator.
/// @param around The store, hosts, time and terminal.
/// @param summary What the edit does, for the history.
/// @param changes The changes.
/// @return The exit code, or a config_error.
boost::leaf::result<exit_code> write_edit(config::list_kind kind,
                                          const command_line& line,
                                          const environment& around,
                                          std::string summary,
                                          std::vector<config::entry_change> changes);

/// @brief Waits until every live listed host has a stamp in force.
/// @param kind The list.
/// @param stamp The stamp.
/// @param line The command line; bounds the wait.
/// @param around Reaches the hosts.
/// @return ok, or waiting after naming the hosts that lag.
exit_code wait_in_force(config::list_kind kind,
                        const config::list_stamp& stamp,
                        const command_line& line,
                        const environment& around);

/// @brief Shows changes, one entry a line.
/// @param changes The changes.
/// @param out Takes the lines.
void show_changes(const std::vector<config::entry_change>& changes, std::ostream& out);

}  // namespace catkintack::cli
