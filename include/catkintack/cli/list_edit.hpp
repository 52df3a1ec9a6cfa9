/// @file
/// Writes edits of lists and waits until they are in force.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "catkintack/cli/command.hpp"
#include "catkintack/cli/command_context.hpp"
#include "catkintack/config/edit_record.hpp"
#include "catkintack/config/list_document.hpp"

namespace catkintack::cli {

/// @brief Checks that no host has a newer or different list in force than the store.
/// @param document List read from the store.
/// @return Nothing, or a config_error that names the host and the command to recover.
boost::leaf::result<void> check_store_is_newest(const config::list_document& document,
                                                const command_context& context);

/// @brief Writes an edit, waits until it is in force, and prints the result.
/// @param summary Description of the edit for the history.
/// @return The exit code, or a config_error.
boost::leaf::result<exit_code> write_edit(config::list_kind kind,
                                          const command_line& line,
                                          const command_context& context,
                                          std::string summary,
                                          std::vector<config::entry_change> changes);

/// @brief Waits until a version of a list is in force on all live hosts, at most line.wait, and
/// prints the result.
/// @return ok, or waiting when some hosts do not have it in force yet.
exit_code wait_in_force(config::list_kind kind,
                        const config::list_stamp& stamp,
                        const command_line& line,
                        const command_context& context);

/// @brief Prints the old and new text of each entry, one per line.
void show_changes(const std::vector<config::entry_change>& changes, std::ostream& out);

}  // namespace catkintack::cli
