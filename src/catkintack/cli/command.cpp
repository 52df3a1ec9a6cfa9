#include "catkintack/cli/command.hpp"

#include <iostream>
#include <memory>
#include <thread>

#include "catkintack/cli/admin_client.hpp"
#include "catkintack/cli/command_context.hpp"
#include "catkintack/cli/list_commands.hpp"
#include "catkintack/cli/timeline.hpp"
#include "catkintack/cli/usage_error.hpp"
#include "catkintack/daemon/settings.hpp"
#include "catkintack/net/http_store.hpp"
#include "catkintack/net/net_error.hpp"

namespace catkintack::cli {
namespace {

namespace leaf = boost::leaf;
using config::config_error;
using config::config_error_kind;

command_context make_context(const command_line& line, config::store& store, std::ostream& out) {
  command_context context;
  context.store = &store;
  context.reports = [&line] { return fetch_host_reports(line.host_list); };
  context.services = [&line] { return fetch_services(line.host_list); };
  context.list_text = [&line](const base::host_id& host, config::list_kind kind) {
    return fetch_list(line.host_list, host, kind);
  };
  context.clock = base::system_clock_hook();
  context.wall_clock = base::system_wall_clock_hook();
  context.random = base::seeded_random_hook(base::entropy_seed());
  context.pause = [](base::duration span) { std::this_thread::sleep_for(span); };
  context.in = &std::cin;
  context.out = &out;
  return context;
}

leaf::result<exit_code> run_list(config::list_kind kind,
                                 const command_line& line,
                                 std::ostream& out) {
  const auto store = net::make_http_store({line.store});
  return run_list_command(kind, line, make_context(line, *store, out));
}

leaf::result<exit_code> run_check_settings(const command_line& line, std::ostream& out) {
  if (line.reference) {
    out << daemon::settings_reference();
    return exit_code::ok;
  }
  if (line.arguments.size() != 2) {
    return leaf::new_error(usage_error{"check-settings takes one FILE, or --reference"});
  }
  BOOST_LEAF_CHECK(daemon::read_settings(line.arguments[1]));
  out << line.arguments[1] << ": settings are valid\n";
  return exit_code::ok;
}

leaf::result<exit_code> dispatch(const command_line& line, std::ostream& out) {
  const std::string command = line.arguments.empty() ? "" : line.arguments[0];
  for (const config::list_kind kind : config::all_lists) {
    if (command == to_string(kind)) {
      return run_list(kind, line, out);
    }
  }
  if (command == "status") {
    return run_status(line, out);
  }
  if (command == "timeline") {
    return run_timeline(line, out);
  }
  if (command == "check-settings") {
    return run_check_settings(line, out);
  }
  return leaf::new_error(
      usage_error{"expected one of the commands plans, allowances, status, timeline and "
                  "check-settings; try --help"});
}

exit_code exit_code_of(config_error_kind kind) {
  if (kind == config_error_kind::write_unknown) {
    return exit_code::unknown;
  }
  return kind == config_error_kind::version_conflict ? exit_code::conflict : exit_code::failed;
}

}  // namespace

exit_code run_command(const command_line& line, std::ostream& out, std::ostream& err) {
  const auto report = [&err](const std::string& message, exit_code code) {
    err << "catkintack: " << message << "\n";
    return code;
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> { return dispatch(line, out); },
      [&](const usage_error& error) { return report(error.message, exit_code::usage); },
      [&](const timeline_error& error) { return report(error.message, exit_code::failed); },
      [&](const daemon::settings_error& error) { return report(error.message, exit_code::usage); },
      [&](const config_error& error) { return report(error.message, exit_code_of(error.kind)); },
      [&](const net::net_error& error) { return report(error.message, exit_code::failed); },
      [&] { return report("failed", exit_code::failed); });
}

}  // namespace catkintack::cli
