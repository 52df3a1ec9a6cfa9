#include "catkintack/cli/command.hpp"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "catkintack/cli/timeline.hpp"
#include "catkintack/config/key_hash.hpp"
#include "catkintack/config/list_codec.hpp"
#include "catkintack/config/list_keys.hpp"
#include "catkintack/daemon/settings.hpp"
#include "catkintack/net/host_list.hpp"
#include "catkintack/net/http_store.hpp"

namespace catkintack::cli {
namespace {

namespace leaf = boost::leaf;
using config::config_error;
using config::config_error_kind;

constexpr base::duration host_list_timeout = std::chrono::seconds(2);
constexpr int max_write_attempts = 8;

/// An error in the command's words.
struct usage_error {
  std::string message;
};

template <class List>
leaf::result<std::pair<List, std::uint64_t>>
read_list(config::store& store, const char* key, leaf::result<List> (*parse)(const std::string&)) {
  BOOST_LEAF_AUTO(stored, store.read(key));
  List list;
  if (stored.revision > 0) {
    BOOST_LEAF_ASSIGN(list, parse(stored.value));
  }
  return std::pair{std::move(list), stored.revision};
}

/// Changes a list by compare-and-swap, again on the newest version after a conflict.
template <class List, class Change>
leaf::result<List> edit_list(config::store& store,
                             const char* key,
                             leaf::result<List> (*parse)(const std::string&),
                             Change change) {
  for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
    BOOST_LEAF_AUTO(read, read_list<List>(store, key, parse));
    List list = std::move(read.first);
    list.version = list.version.next();
    change(list);
    const std::string text = to_json(list);
    BOOST_LEAF_CHECK(parse(text));
    BOOST_LEAF_AUTO(written, store.compare_and_swap(key, read.second, text));
    if (written == config::swap_result::applied) {
      return list;
    }
  }
  return leaf::new_error(
      config_error{config_error_kind::version_conflict, "the list kept changing; try again"});
}

leaf::result<exit_code> run_plans(const command_line& line, std::ostream& out) {
  const auto store = net::make_http_store({line.store});
  const std::vector<std::string>& words = line.words;
  if (words.size() == 2 && words[1] == "list") {
    BOOST_LEAF_AUTO(read, read_list(*store, config::plans_key, config::parse_plans));
    out << to_json(read.first) << "\n";
    return exit_code::ok;
  }
  constexpr std::size_t set_words = 4;
  if (words.size() == set_words && words[1] == "set") {
    const config::customer entry{base::customer_id(words[2]), base::plan_id(words[3]),
                                 config::hash_key(line.key)};
    BOOST_LEAF_AUTO(list, edit_list(*store, config::plans_key, config::parse_plans,
                                    [&entry](config::plans_list& target) {
                                      target.customers[entry.id] = entry;
                                    }));
    out << "plans version " << list.version.value() << " is written\n";
    return exit_code::ok;
  }
  return leaf::new_error(usage_error{"plans takes list, or set CUSTOMER PLAN --key=KEY"});
}

leaf::result<exit_code> run_allowances(const command_line& line, std::ostream& out) {
  const auto store = net::make_http_store({line.store});
  const std::vector<std::string>& words = line.words;
  if (words.size() == 2 && words[1] == "list") {
    BOOST_LEAF_AUTO(read, read_list(*store, config::allowances_key, config::parse_allowances));
    out << to_json(read.first) << "\n";
    return exit_code::ok;
  }
  constexpr std::size_t set_words = 4;
  if (words.size() == set_words && words[1] == "set") {
    const config::allowance entry{base::plan_id(words[2]), base::service_id(words[3]),
                                  line.rate_per_second, line.burst, line.max_concurrent};
    BOOST_LEAF_AUTO(list, edit_list(*store, config::allowances_key, config::parse_allowances,
                                    [&entry](config::allowances_list& target) {
                                      target.allowances[{entry.plan, entry.service}] = entry;
                                    }));
    out << "allowances version " << list.version.value() << " is written\n";
    return exit_code::ok;
  }
  return leaf::new_error(
      usage_error{"allowances takes list, or set PLAN SERVICE --rate=R --burst=B --concurrent=C"});
}

leaf::result<exit_code> run_status(const command_line& line, std::ostream& out) {
  BOOST_LEAF_AUTO(hosts, net::fetch_host_list(line.host_list, host_list_timeout));
  for (const membership::gateway_record& host : hosts.gateways) {
    httplib::Client client(host.admin.ip, host.admin.port);
    client.set_connection_timeout(1);
    const auto answer = client.Get("/status");
    if (answer) {
      out << answer->body << "\n";
    } else {
      out << nlohmann::json{{"host", host.host.value()}, {"reachable", false}}.dump() << "\n";
    }
  }
  return exit_code::ok;
}

leaf::result<exit_code> run_check_settings(const command_line& line, std::ostream& out) {
  if (line.reference) {
    out << daemon::settings_reference();
    return exit_code::ok;
  }
  if (line.words.size() != 2) {
    return leaf::new_error(usage_error{"check-settings takes one FILE, or --reference"});
  }
  BOOST_LEAF_CHECK(daemon::read_settings(line.words[1]));
  out << line.words[1] << ": settings are valid\n";
  return exit_code::ok;
}

leaf::result<exit_code> dispatch(const command_line& line, std::ostream& out) {
  const std::string command = line.words.empty() ? "" : line.words[0];
  if (command == "plans") {
    return run_plans(line, out);
  }
  if (command == "allowances") {
    return run_allowances(line, out);
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
  return leaf::new_error(usage_error{
      "commands are plans, allowances, status, timeline and check-settings; try --help"});
}

exit_code code_of(config_error_kind kind) {
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
      [&](const config_error& error) { return report(error.message, code_of(error.kind)); },
      [&](const net::net_error& error) { return report(error.message, exit_code::failed); },
      [&] { return report("failed", exit_code::failed); });
}

}  // namespace catkintack::cli
