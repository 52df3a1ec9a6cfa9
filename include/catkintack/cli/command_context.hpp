/// @file
/// Access of commands to the store, the hosts, time and the terminal.
#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <iosfwd>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/cli/host_report.hpp"
#include "catkintack/config/list_kind.hpp"
#include "catkintack/config/store.hpp"

namespace catkintack::cli {

/// @brief Hooks for the store, the hosts, time and the terminal; tests replace them.
struct command_context {
  config::store* store = nullptr;
  /// Queries all live hosts of the host list; empty when the host list is unavailable.
  std::function<std::vector<host_report>()> reports;
  /// Returns the services that have upstreams; empty when the host list is unavailable.
  std::function<std::set<std::string>()> services;
  /// Returns the text of a list in force on a host, or nothing when the host is unreachable.
  std::function<std::optional<std::string>(const base::host_id&, config::list_kind)> list_text;
  base::clock_hook clock;
  base::wall_clock_hook wall_clock;
  base::random_hook random;
  std::function<void(base::duration)> pause;
  std::istream* in = nullptr;
  std::ostream* out = nullptr;
};

}  // namespace catkintack::cli
