#include "catkintack/cli/list_edit.hpp"

#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "catkintack/config/list_editor.hpp"
#include "catkintack/config/list_history.hpp"
#include "catkintack/config/list_rules.hpp"

namespace catkintack::cli {
namespace {

namespace leaf = boost::leaf;
using config::list_kind;

constexpr base::duration poll_interval = std::chrono::milliseconds(100);

list_kind other_of(list_kind kind) {
  return kind == list_kind::plans ? list_kind::allowances : list_kind::plans;
}

std::int64_t seconds_now(const environment& around) {
  const auto since = around.wall_clock().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

/// The hosts that lack a stamp, each with what it has instead.
std::vector<std::string> lagging(list_kind kind,
                                 const config::list_stamp& stamp,
                                 const environment& around) {
  std::vector<std::string> hosts;
  for (const host_report& report : around.reports()) {
    const config::list_stamp& in_force = report.in_force.at(config::index_of(kind));
    if (!report.reachable) {
      hosts.push_back(report.host.value() + " (no answer)");
    } else if (in_force.version < stamp.version) {
      hosts.push_back(report.host.value() + " (version " +
                      std::to_string(in_force.version.value()) + ")");
    } else if (in_force.version == stamp.version && in_force.edit != stamp.edit) {
      hosts.push_back(report.host.value() + " (edit " + config::to_string(in_force.edit) + ")");
    }
  }
  return hosts;
}

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += text.empty() ? "" : ", ";
    text += name;
  }
  return text;
}

leaf::error_id store_is_behind(const config::list_document& document,
                               const base::host_id& host,
                               const config::list_stamp& in_force) {
  const std::string list = to_string(document.kind);
  return leaf::new_error(config::config_error{
      config::config_error_kind::invalid_entry,
      "the store holds " + list + " version " + std::to_string(document.stamp.version.value()) +
          " (edit " + config::to_string(document.stamp.edit) + "), but version " +
          std::to_string(in_force.version.value()) + " (edit " + config::to_string(in_force.edit) +
          ") is in force on " + host.value() + "; run `catkintack " + list + " recover` first"});
}

void show_result(const command_line& line,
                 const environment& around,
                 const nlohmann::json& document,
                 const std::string& text) {
  *around.out << (line.json ? document.dump() : text) << "\n";
}

}  // namespace

leaf::result<void> check_store_is_newest(const config::list_document& document,
                                         const environment& around) {
  for (const host_report& report : around.reports()) {
    const config::list_stamp& in_force = report.in_force.at(config::index_of(document.kind));
    const bool newer = in_force.version > document.stamp.version;
    const bool diverged =
        in_force.version == document.stamp.version && in_force.edit != document.stamp.edit;
    if (report.reachable && (newer || diverged)) {
      return store_is_behind(document, report.host, in_force);
    }
  }
  return {};
}

leaf::result<exit_code> write_edit(list_kind kind,
                                   const command_line& line,
                                   const environment& around,
                                   std::string summary,
                                   std::vector<config::entry_change> changes) {
  config::edit_record edit;
  edit.edit = base::edit_id(around.random());
  edit.author = line.operator_name;
  edit.time = seconds_now(around);
  edit.summary = std::move(summary);
  edit.changes = std::move(changes);
  BOOST_LEAF_AUTO(other, config::read_list(*around.store, other_of(kind)));
  const std::set<std::string> services = around.services();
  config::list_editor_options options;
  options.validate = [&](const config::list_document& changed) {
    return config::check_rules(changed, other.document, services);
  };
  options.pause = around.pause;
  BOOST_LEAF_AUTO(stamp, config::list_editor(*around.store, options).apply(kind, edit));
  return wait_in_force(kind, stamp, line, around);
}

exit_code wait_in_force(list_kind kind,
                        const config::list_stamp& stamp,
                        const command_line& line,
                        const environment& around) {
  const std::string written = std::string(to_string(kind)) + " version " +
                              std::to_string(stamp.version.value()) + " (edit " +
                              config::to_string(stamp.edit) + ") is written";
  nlohmann::json result = {{"list", to_string(kind)},
                           {"version", stamp.version.value()},
                           {"edit", config::to_string(stamp.edit)}};
  if (line.wait <= base::duration::zero()) {
    show_result(line, around, result, written);
    return exit_code::ok;
  }
  const base::instant limit = around.clock() + line.wait;
  std::vector<std::string> missing = lagging(kind, stamp, around);
  while (!missing.empty() && around.clock() < limit) {
    around.pause(poll_interval);
    missing = lagging(kind, stamp, around);
  }
  result["waiting_for"] = missing;
  const std::string state = missing.empty() ? " and in force on every listed host"
                                            : "; not yet in force on " + joined(missing);
  show_result(line, around, result, written + state);
  return missing.empty() ? exit_code::ok : exit_code::waiting;
}

void show_changes(const std::vector<config::entry_change>& changes, std::ostream& out) {
  for (const config::entry_change& change : changes) {
    if (!change.before.empty()) {
      out << "- " << change.before << "\n";
    }
    if (!change.after.empty()) {
      out << "+ " << change.after << "\n";
    }
  }
}

}  // namespace catkintack::cli
