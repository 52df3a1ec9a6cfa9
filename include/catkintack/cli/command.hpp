/// @file
/// Commands for operators; the program parses the options.
#pragma once

#include <boost/leaf.hpp>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/cli/timeline_options.hpp"

namespace catkintack::cli {

/// @brief Exit codes; scripts depend on their values.
enum class exit_code : int {
  ok = 0,
  failed = 1,    ///< Rejected or failed; nothing was changed.
  usage = 2,     ///< The command line or a settings file is invalid.
  conflict = 3,  ///< Another operator changed the same entry.
  unknown = 4,   ///< The write may or may not have been applied.
  waiting = 5,   ///< Written, but not yet in force on all hosts.
};

/// @brief Parsed command line.
struct command_line {
  base::address store;
  base::address host_list;
  bool json = false;
  bool yes = false;                               ///< Apply without confirmation.
  std::string operator_name;                      ///< Recorded in the history.
  base::duration wait = std::chrono::seconds(7);  ///< Until an edit is in force; 0: no wait.
  std::string key;                                ///< API key of a customer, for `plans set`.
  std::optional<double> rate_per_second;          ///< For `allowances set`.
  std::optional<unsigned> burst;                  ///< For `allowances set`.
  std::optional<unsigned> max_concurrent;         ///< For `allowances set`.
  timeline_options timeline;                      ///< For `timeline`.
  bool reference = false;                         ///< For `check-settings`: describe all settings.
  std::vector<std::string> arguments;  ///< Command and its arguments, such as {"plans", "list"}.
};

/// @brief Runs a command.
/// @param out Receives the results.
/// @param err Receives error messages.
exit_code run_command(const command_line& line, std::ostream& out, std::ostream& err);

}  // namespace catkintack::cli
