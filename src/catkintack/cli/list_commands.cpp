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

/// One command on one list.
struct request {
  list_kind kind;
  const command_line& line;
  const environment& around;
};

using command = leaf::result<exit_code> (*)(const request&);

leaf::error_id failed(const std::string& message) {
  return leaf::new_error(config_error{config_error_kind::invalid_entry, message});
}

std::string list_name(const request& asked) { return to_string(asked.kind); }

/// The words after the list's name and the command.
std::vector<std::string> arguments(const request& asked) {
  return {asked.line.words.begin() + 2, asked.line.words.end()};
}

std::size_t name_words(list_kind kind) { return kind == list_kind::plans ? 1 : 2; }

leaf::result<std::string> entry_name(const request& asked, std::size_t words) {
  const std::vector<std::string> given = arguments(asked);
  if (given.size() != words) {
    return leaf::new_error(
        usage_error{asked.kind == list_kind::plans
                        ? "name one CUSTOMER; for set also its PLAN, and --key=KEY if it is new"
                        : "name PLAN and SERVICE; for set also --rate=R --burst=B --concurrent=C"});
  }
  return asked.kind == list_kind::plans ? given[0] : given[0] + "/" + given[1];
}

leaf::result<std::uint64_t> version_word(const request& asked) {
  const std::vector<std::string> given = arguments(asked);
  std::uint64_t version = 0;
  const std::string text = given.empty() ? "" : given[0];
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, version);
  if (given.size() != 1 || error != std::errc{} || rest != end) {
    return leaf::new_error(usage_error{"rollback takes one VERSION, a number"});
  }
  return version;
}

leaf::result<list_document> read(const request& asked) {
  BOOST_LEAF_AUTO(found, config::read_list(*asked.around.store, asked.kind));
  return found.document;
}

/// Reads a list that is about to be edited.
leaf::result<list_document> read_for_edit(const request& asked) {
  BOOST_LEAF_AUTO(document, read(asked));
  BOOST_LEAF_CHECK(check_store_is_newest(document, asked.around));
  return document;
}

std::string text_of(const list_document& document, const std::string& name) {
  const auto found = document.entries.find(name);
  return found == document.entries.end() ? "" : found->second;
}

leaf::result<exit_code> write(const request& asked,
                              std::string summary,
                              std::vector<config::entry_change> changes) {
  if (changes.empty()) {
    *asked.around.out << "nothing to change\n";
    return exit_code::ok;
  }
  return write_edit(asked.kind, asked.line, asked.around, std::move(summary), std::move(changes));
}

leaf::result<exit_code> list(const request& asked) {
  BOOST_LEAF_AUTO(document, read(asked));
  *asked.around.out << to_file_text(document) << "\n";
  return exit_code::ok;
}

leaf::result<exit_code> show(const request& asked) {
  BOOST_LEAF_AUTO(name, entry_name(asked, name_words(asked.kind)));
  BOOST_LEAF_AUTO(document, read(asked));
  const std::string text = text_of(document, name);
  if (text.empty()) {
    return failed(list_name(asked) + " has no entry \"" + name + "\"");
  }
  *asked.around.out << text << "\n";
  return exit_code::ok;
}

leaf::result<std::string> changed_customer(const request& asked, const std::string& before) {
  json entry = before.empty() ? json::object() : json::parse(before);
  const std::vector<std::string> given = arguments(asked);
  entry["customer"] = given[0];
  entry["plan"] = given[1];
  if (!asked.line.key.empty()) {
    entry["key_hash"] = config::hash_key(asked.line.key);
  }
  if (!entry.contains("key_hash")) {
    return leaf::new_error(usage_error{"customer \"" + given[0] + "\" is new; give --key=KEY"});
  }
  return entry.dump();
}

leaf::result<std::string> changed_allowance(const request& asked, const std::string& before) {
  json entry = before.empty() ? json{{"rate_per_second", 0.0}, {"burst", 1}, {"max_concurrent", 1}}
                              : json::parse(before);
  const std::vector<std::string> given = arguments(asked);
  entry["plan"] = given[0];
  entry["service"] = given[1];
  entry["rate_per_second"] =
      asked.line.rate_per_second.value_or(entry["rate_per_second"].get<double>());
  entry["burst"] = asked.line.burst.value_or(entry["burst"].get<unsigned>());
  entry["max_concurrent"] =
      asked.line.max_concurrent.value_or(entry["max_concurrent"].get<unsigned>());
  return entry.dump();
}

leaf::result<exit_code> set(const request& asked) {
  constexpr std::size_t words = 2;
  const bool plans = asked.kind == list_kind::plans;
  BOOST_LEAF_AUTO(name, entry_name(asked, words));
  BOOST_LEAF_AUTO(document, read_for_edit(asked));
  const std::string before = text_of(document, name);
  BOOST_LEAF_AUTO(after,
                  plans ? changed_customer(asked, before) : changed_allowance(asked, before));
  return write(asked, "set " + name,
               before == after ? std::vector<config::entry_change>{}
                               : std::vector<config::entry_change>{{name, before, after}});
}

leaf::result<exit_code> remove(const request& asked) {
  BOOST_LEAF_AUTO(name, entry_name(asked, name_words(asked.kind)));
  BOOST_LEAF_AUTO(document, read_for_edit(asked));
  const std::string before = text_of(document, name);
  if (before.empty()) {
    return failed(list_name(asked) + " has no entry \"" + name + "\"");
  }
  return write(asked, "remove " + name, {{name, before, ""}});
}

bool agreed(const request& asked) {
  if (asked.line.yes) {
    return true;
  }
  *asked.around.out << "apply? [y/N] " << std::flush;
  std::string answer;
  std::getline(*asked.around.in, answer);
  return answer == "y" || answer == "yes";
}

/// Shows the changes, asks, and writes.
leaf::result<exit_code> confirm(const request& asked,
                                const std::string& summary,
                                std::vector<config::entry_change> changes) {
  if (!asked.line.json) {
    show_changes(changes, *asked.around.out);
  }
  if (!changes.empty() && !agreed(asked)) {
    *asked.around.out << "nothing is changed\n";
    return exit_code::failed;
  }
  return write(asked, summary, std::move(changes));
}

leaf::result<exit_code> apply(const request& asked) {
  const std::vector<std::string> given = arguments(asked);
  if (given.size() != 1) {
    return leaf::new_error(usage_error{"apply takes one FILE"});
  }
  std::ifstream file(given[0]);
  if (!file) {
    return leaf::new_error(usage_error{given[0] + ": cannot be read"});
  }
  std::ostringstream text;
  text << file.rdbuf();
  BOOST_LEAF_AUTO(wanted, config::parse_entries(asked.kind, text.str()));
  BOOST_LEAF_AUTO(document, read_for_edit(asked));
  const json value = json::parse(text.str());
  const base::list_version base(value.value("version", document.stamp.version.value()));
  BOOST_LEAF_AUTO(edited_from, config::entries_at(document, base));
  return confirm(asked, "apply a file made from version " + std::to_string(base.value()),
                 config::difference(edited_from, wanted));
}

leaf::result<exit_code> history(const request& asked) {
  BOOST_LEAF_AUTO(document, read(asked));
  for (const config::edit_record& record : document.history) {
    if (asked.line.json) {
      json changes = json::array();
      for (const config::entry_change& change : record.changes) {
        changes.push_back(
            {{"entry", change.entry}, {"before", change.before}, {"after", change.after}});
      }
      *asked.around.out << json{{"version", record.version.value()},
                                {"edit", config::to_string(record.edit)},
                                {"operator", record.author},
                                {"time", record.time},
                                {"summary", record.summary},
                                {"changes", changes}}
                               .dump()
                        << "\n";
    } else {
      *asked.around.out << record.version.value() << "  " << record.time << "  "
                        << config::to_string(record.edit) << "  " << record.author << "  "
                        << record.summary << "\n";
    }
  }
  return exit_code::ok;
}

leaf::result<exit_code> rollback(const request& asked) {
  BOOST_LEAF_AUTO(version, version_word(asked));
  BOOST_LEAF_AUTO(document, read_for_edit(asked));
  BOOST_LEAF_AUTO(wanted, config::entries_at(document, base::list_version(version)));
  return confirm(asked, "rollback to version " + std::to_string(version),
                 config::difference(document.entries, wanted));
}

/// The host with the highest version in force.
std::optional<host_report> most_advanced(const request& asked) {
  std::optional<host_report> best;
  const std::size_t index = config::index_of(asked.kind);
  for (const host_report& report : asked.around.reports()) {
    const bool better =
        !best || report.in_force.at(index).version > best->in_force.at(index).version;
    if (report.reachable && better) {
      best = report;
    }
  }
  return best;
}

/// Writes the list in force on the hosts over an older one in the store, as a new version.
leaf::result<exit_code> recover(const request& asked) {
  BOOST_LEAF_AUTO(found, config::read_list(*asked.around.store, asked.kind));
  const auto newest = most_advanced(asked);
  const auto text = newest ? asked.around.list_text(newest->host, asked.kind) : std::nullopt;
  if (!text) {
    return failed("no host could be asked for " + list_name(asked));
  }
  BOOST_LEAF_AUTO(document, config::parse_document(asked.kind, *text));
  if (document.stamp.version < found.document.stamp.version ||
      document.stamp == found.document.stamp) {
    *asked.around.out << "the store holds the newest " << list_name(asked) << "\n";
    return exit_code::ok;
  }
  const auto changes = config::difference(found.document.entries, document.entries);
  show_changes(changes, *asked.around.out);
  if (!agreed(asked)) {
    *asked.around.out << "nothing is changed\n";
    return exit_code::failed;
  }
  config::edit_record edit;
  edit.edit = base::edit_id(asked.around.random());
  edit.author = asked.line.operator_name;
  edit.time =
      std::chrono::duration_cast<std::chrono::seconds>(asked.around.wall_clock().time_since_epoch())
          .count();
  edit.summary = "recover from " + newest->host.value();
  BOOST_LEAF_CHECK(config::rebase(document, edit));
  BOOST_LEAF_AUTO(swapped,
                  asked.around.store->compare_and_swap(config::key_of(asked.kind), found.revision,
                                                       config::to_json(document)));
  if (swapped == config::swap_result::conflict) {
    return leaf::new_error(
        config_error{config_error_kind::version_conflict, "the store changed; try again"});
  }
  return wait_in_force(asked.kind, document.stamp, asked.line, asked.around);
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
                                         const environment& around) {
  const std::string word = line.words.size() > 1 ? line.words[1] : "";
  const auto found = commands().find(word);
  if (found == commands().end()) {
    return leaf::new_error(
        usage_error{std::string(to_string(kind)) +
                    " takes list, show, set, remove, apply, history, rollback or recover"});
  }
  return found->second({kind, line, around});
}

}  // namespace catkintack::cli
