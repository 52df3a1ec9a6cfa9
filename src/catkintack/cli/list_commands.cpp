#include "catkintack/cli/list_commands.hpp"

#include <charconv>
#include <fstream>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <utility>

#include "catkintack/cli/list_edit.hpp"
#include "catkintack/cli/usage_error.hpp"
#include "catkintack/config/key_hash.hpp"
#include "catkintack/config/list_editor.hpp"
#include "catkintack/config/list_history.hpp"

namespace catkintack::cli {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;
using config::config_error;
using config::config_error_kind;
using config::list_document;
using config::list_kind;

/// Arguments of a command on a list.
struct list_invocation {
  list_kind kind;
  const command_line& line;
  const command_context& context;
};

using command = leaf::result<exit_code> (*)(const list_invocation&);

leaf::error_id invalid_entry_error(const std::string& message) {
  return leaf::new_error(config_error{config_error_kind::invalid_entry, message});
}

std::string list_name(const list_invocation& invocation) { return to_string(invocation.kind); }

/// Returns the arguments after the list's name and the command.
std::vector<std::string> entry_arguments(const list_invocation& invocation) {
  return {invocation.line.arguments.begin() + 2, invocation.line.arguments.end()};
}

std::size_t entry_name_argument_count(list_kind kind) { return kind == list_kind::plans ? 1 : 2; }

leaf::result<std::string> entry_name(const list_invocation& invocation,
                                     std::size_t argument_count) {
  const std::vector<std::string> arguments = entry_arguments(invocation);
  if (arguments.size() != argument_count) {
    return leaf::new_error(usage_error{
        invocation.kind == list_kind::plans
            ? "expected CUSTOMER; set also takes PLAN, and --key=KEY for a new customer"
            : "expected PLAN SERVICE; set also takes --rate=R --burst=B --concurrent=C"});
  }
  return invocation.kind == list_kind::plans ? arguments[0] : arguments[0] + "/" + arguments[1];
}

leaf::result<std::uint64_t> parse_version_argument(const list_invocation& invocation) {
  const std::vector<std::string> arguments = entry_arguments(invocation);
  std::uint64_t version = 0;
  const std::string text = arguments.empty() ? "" : arguments[0];
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, version);
  if (arguments.size() != 1 || error != std::errc{} || rest != end) {
    return leaf::new_error(usage_error{"rollback takes one VERSION, an integer"});
  }
  return version;
}

leaf::result<list_document> read(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(found, config::read_list(*invocation.context.store, invocation.kind));
  return found.document;
}

/// Reads a list for an edit; fails when a host has a newer one in force.
leaf::result<list_document> read_for_edit(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(document, read(invocation));
  BOOST_LEAF_CHECK(check_store_is_newest(document, invocation.context));
  return document;
}

std::string find_entry_text(const list_document& document, const std::string& name) {
  const auto found = document.entries.find(name);
  return found == document.entries.end() ? "" : found->second;
}

leaf::result<exit_code> write(const list_invocation& invocation,
                              std::string summary,
                              std::vector<config::entry_change> changes) {
  if (changes.empty()) {
    *invocation.context.out << "no changes\n";
    return exit_code::ok;
  }
  return write_edit(invocation.kind, invocation.line, invocation.context, std::move(summary),
                    std::move(changes));
}

leaf::result<exit_code> list(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(document, read(invocation));
  *invocation.context.out << to_file_text(document) << "\n";
  return exit_code::ok;
}

leaf::result<exit_code> show(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(name, entry_name(invocation, entry_name_argument_count(invocation.kind)));
  BOOST_LEAF_AUTO(document, read(invocation));
  const std::string text = find_entry_text(document, name);
  if (text.empty()) {
    return invalid_entry_error(list_name(invocation) + " has no entry \"" + name + "\"");
  }
  *invocation.context.out << text << "\n";
  return exit_code::ok;
}

leaf::result<std::string> make_customer_entry(const list_invocation& invocation,
                                              const std::string& before) {
  json entry = before.empty() ? json::object() : json::parse(before);
  const std::vector<std::string> arguments = entry_arguments(invocation);
  entry["customer"] = arguments[0];
  entry["plan"] = arguments[1];
  if (!invocation.line.key.empty()) {
    entry["key_hash"] = config::hash_key(invocation.line.key);
  }
  if (!entry.contains("key_hash")) {
    return leaf::new_error(usage_error{"customer \"" + arguments[0] + "\" is new; give --key=KEY"});
  }
  return entry.dump();
}

leaf::result<std::string> make_allowance_entry(const list_invocation& invocation,
                                               const std::string& before) {
  json entry = before.empty() ? json{{"rate_per_second", 0.0}, {"burst", 1}, {"max_concurrent", 1}}
                              : json::parse(before);
  const std::vector<std::string> arguments = entry_arguments(invocation);
  entry["plan"] = arguments[0];
  entry["service"] = arguments[1];
  entry["rate_per_second"] =
      invocation.line.rate_per_second.value_or(entry["rate_per_second"].get<double>());
  entry["burst"] = invocation.line.burst.value_or(entry["burst"].get<unsigned>());
  entry["max_concurrent"] =
      invocation.line.max_concurrent.value_or(entry["max_concurrent"].get<unsigned>());
  return entry.dump();
}

leaf::result<exit_code> set(const list_invocation& invocation) {
  constexpr std::size_t argument_count = 2;
  const bool plans = invocation.kind == list_kind::plans;
  BOOST_LEAF_AUTO(name, entry_name(invocation, argument_count));
  BOOST_LEAF_AUTO(document, read_for_edit(invocation));
  const std::string before = find_entry_text(document, name);
  BOOST_LEAF_AUTO(after, plans ? make_customer_entry(invocation, before)
                               : make_allowance_entry(invocation, before));
  return write(invocation, "set " + name,
               before == after ? std::vector<config::entry_change>{}
                               : std::vector<config::entry_change>{{name, before, after}});
}

leaf::result<exit_code> remove(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(name, entry_name(invocation, entry_name_argument_count(invocation.kind)));
  BOOST_LEAF_AUTO(document, read_for_edit(invocation));
  const std::string before = find_entry_text(document, name);
  if (before.empty()) {
    return invalid_entry_error(list_name(invocation) + " has no entry \"" + name + "\"");
  }
  return write(invocation, "remove " + name, {{name, before, ""}});
}

bool is_confirmed(const list_invocation& invocation) {
  if (invocation.line.yes) {
    return true;
  }
  *invocation.context.out << "apply? [y/N] " << std::flush;
  std::string answer;
  std::getline(*invocation.context.in, answer);
  return answer == "y" || answer == "yes";
}

/// Prints the changes, asks for confirmation, and writes them.
leaf::result<exit_code> confirm_and_write(const list_invocation& invocation,
                                          const std::string& summary,
                                          std::vector<config::entry_change> changes) {
  if (!invocation.line.json) {
    show_changes(changes, *invocation.context.out);
  }
  if (!changes.empty() && !is_confirmed(invocation)) {
    *invocation.context.out << "nothing is changed\n";
    return exit_code::failed;
  }
  return write(invocation, summary, std::move(changes));
}

leaf::result<exit_code> apply(const list_invocation& invocation) {
  const std::vector<std::string> arguments = entry_arguments(invocation);
  if (arguments.size() != 1) {
    return leaf::new_error(usage_error{"apply takes one FILE"});
  }
  std::ifstream file(arguments[0]);
  if (!file) {
    return leaf::new_error(usage_error{arguments[0] + ": cannot be read"});
  }
  std::ostringstream text;
  text << file.rdbuf();
  BOOST_LEAF_AUTO(wanted, config::parse_entries(invocation.kind, text.str()));
  BOOST_LEAF_AUTO(document, read_for_edit(invocation));
  const json value = json::parse(text.str());
  const base::list_version base(value.value("version", document.stamp.version.value()));
  BOOST_LEAF_AUTO(edited_from, config::entries_at(document, base));
  return confirm_and_write(invocation,
                           "apply a file made from version " + std::to_string(base.value()),
                           config::difference(edited_from, wanted));
}

leaf::result<exit_code> history(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(document, read(invocation));
  for (const config::edit_record& record : document.history) {
    if (invocation.line.json) {
      json changes = json::array();
      for (const config::entry_change& change : record.changes) {
        changes.push_back(
            {{"entry", change.entry}, {"before", change.before}, {"after", change.after}});
      }
      *invocation.context.out << json{{"version", record.version.value()},
                                      {"edit", config::to_string(record.edit)},
                                      {"operator", record.author},
                                      {"time", record.time},
                                      {"summary", record.summary},
                                      {"changes", changes}}
                                     .dump()
                              << "\n";
    } else {
      *invocation.context.out << record.version.value() << "  " << record.time << "  "
                              << config::to_string(record.edit) << "  " << record.author << "  "
                              << record.summary << "\n";
    }
  }
  return exit_code::ok;
}

leaf::result<exit_code> rollback(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(version, parse_version_argument(invocation));
  BOOST_LEAF_AUTO(document, read_for_edit(invocation));
  BOOST_LEAF_AUTO(wanted, config::entries_at(document, base::list_version(version)));
  return confirm_and_write(invocation, "rollback to version " + std::to_string(version),
                           config::difference(document.entries, wanted));
}

/// Returns the report of the reachable host with the highest version in force.
std::optional<host_report> find_newest_report(const list_invocation& invocation) {
  std::optional<host_report> newest;
  const std::size_t index = config::index_of(invocation.kind);
  for (const host_report& report : invocation.context.reports()) {
    const bool better =
        !newest || report.in_force.at(index).version > newest->in_force.at(index).version;
    if (report.reachable && better) {
      newest = report;
    }
  }
  return newest;
}

/// Replaces an older list in the store by the one in force on the hosts, as a new version.
leaf::result<exit_code> recover(const list_invocation& invocation) {
  BOOST_LEAF_AUTO(found, config::read_list(*invocation.context.store, invocation.kind));
  const auto newest = find_newest_report(invocation);
  const auto text =
      newest ? invocation.context.list_text(newest->host, invocation.kind) : std::nullopt;
  if (!text) {
    return invalid_entry_error("no host could be asked for " + list_name(invocation));
  }
  BOOST_LEAF_AUTO(document, config::parse_document(invocation.kind, *text));
  if (document.stamp.version < found.document.stamp.version ||
      document.stamp == found.document.stamp) {
    *invocation.context.out << "the store already holds the newest " << list_name(invocation)
                            << "\n";
    return exit_code::ok;
  }
  const auto changes = config::difference(found.document.entries, document.entries);
  show_changes(changes, *invocation.context.out);
  if (!is_confirmed(invocation)) {
    *invocation.context.out << "nothing is changed\n";
    return exit_code::failed;
  }
  config::edit_record edit;
  edit.edit = base::edit_id(invocation.context.random());
  edit.author = invocation.line.operator_name;
  edit.time = std::chrono::duration_cast<std::chrono::seconds>(
                  invocation.context.wall_clock().time_since_epoch())
                  .count();
  edit.summary = "recover from " + newest->host.value();
  BOOST_LEAF_CHECK(config::rebase(document, edit));
  BOOST_LEAF_AUTO(swapped,
                  invocation.context.store->compare_and_swap(
                      config::key_of(invocation.kind), found.revision, config::to_json(document)));
  if (swapped == config::swap_result::conflict) {
    return leaf::new_error(config_error{config_error_kind::version_conflict,
                                        "the store changed during the recovery; try again"});
  }
  return wait_in_force(invocation.kind, document.stamp, invocation.line, invocation.context);
}

const std::map<std::string, command>& commands() {
  static const std::map<std::string, command> table = {
      {"list", list},   {"show", show},       {"set", set},           {"remove", remove},
      {"apply", apply}, {"history", history}, {"rollback", rollback}, {"recover", recover}};
  return table;
}

}  // namespace

leaf::result<exit_code> run_list_command(list_kind kind,
                                         const command_line& line,
                                         const command_context& context) {
  const std::string command_name = line.arguments.size() > 1 ? line.arguments[1] : "";
  const auto found = commands().find(command_name);
  if (found == commands().end()) {
    return leaf::new_error(
        usage_error{std::string(to_string(kind)) +
                    " takes list, show, set, remove, apply, history, rollback or recover"});
  }
  return found->second({kind, line, context});
}

}  // namespace catkintack::cli
