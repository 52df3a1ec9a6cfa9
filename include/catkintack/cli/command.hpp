/// @file
/// The operators' commands, apart from the parsing of options.
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

/// @brief Exit codes that scripts can rely on.
enum class exit_code : int {
  ok = 0,
  failed = 1,    ///< Refused or failed; nothing was changed.
  usage = 2,     ///< The command line or a settings file is wrong.
  conflict = 3,  ///< Another operator changed the same entry.
  unknown = 4,   ///< The write may or may not have taken effect.
  waiting = 5,   ///< Written, and not yet in force on every host.
};

/// @brief Options common to all commands, and the command's words.
struct command_line {
  base::address store;
  base::address host_list;
  bool json = false;
  bool yes = false;                               ///< Apply without asking.
  std::string operator_name;                      ///< Kept in the history.
  base::duration wait = std::chrono::seconds(7);  ///< For the edit to be in force; 0 not to wait.
  std::string key;                                ///< A customer's key, for `plans set`.
  std::optional<double> rate_per_second;          ///< For `allowances set`.
  std::optional<unsigned> burst;                  ///< For `allowances set`.
  std::optional<unsigned> max_concurrent;         ///< For `allowances set`.
  timeline_options timeline;                      ///< For `timeline`.
  bool reference = false;                         ///< For `check-settings`: describe all keys.
  std::vector<std::string> words;                 ///< For example {"plans", "list"}.
};

/// @brief Runs a command.
/// @param line The command line.
/// @param out Takes results.
/// @param err Takes errors.
/// @return The exit code.
exit_code run_command(const command_line& line, std::ostream& out, std::ostream& err);

}  // namespace catkintack::cli
