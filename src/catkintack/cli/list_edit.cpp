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

list_kind other_list(list_kind kind) {
  return kind == list_kind::plans ? list_kind::allowances : list_kind::plans;
}

std::int64_t unix_time_seconds(const command_context& context) {
  const auto since = context.wall_clock().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

/// Returns the hosts that are unreachable, or that have an older version or a different edit of the
/// same version in force, each with what it has.
std::vector<std::string> find_lagging_hosts(list_kind kind,
                                            const config::list_stamp& stamp,
                                            const command_context& context) {
  std::vector<std::string> hosts;
  for (const host_report& report : context.reports()) {
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

std::string join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += text.empty() ? "" : ", ";
    text += name;
  }
  return text;
}

leaf::error_id outdated_store_error(const config::list_document& document,
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
                 const command_context& context,
                 const nlohmann::json& document,
                 const std::string& text) {
  *context.out << (line.json ? document.dump() : text) << "\n";
}

}  // namespace

leaf::result<void> check_store_is_newest(const config::list_document& document,
                                         const command_context& context) {
  for (const host_report& report : context.reports()) {
    const config::list_stamp& in_force = report.in_force.at(config::index_of(document.kind));
    const bool newer = in_force.version > document.stamp.version;
    const bool diverged =
        in_force.version == document.stamp.version && in_force.edit != document.stamp.edit;
    if (report.reachable && (newer || diverged)) {
      return outdated_store_error(document, report.host, in_force);
    }
  }
  return {};
}

leaf::result<exit_code> write_edit(list_kind kind,
                                   const command_line& line,
                                   const command_context& context,
                                   std::string summary,
                                   std::vector<config::entry_change> changes) {
  config::edit_record edit;
  edit.edit = base::edit_id(context.random());
  edit.author = line.operator_name;
  edit.time = unix_time_seconds(context);
  edit.summary = std::move(summary);
  edit.changes = std::move(changes);
  BOOST_LEAF_AUTO(other, config::read_list(*context.store, other_list(kind)));
  const std::set<std::string> services = context.services();
  config::list_editor_options options;
  options.validate = [&](const config::list_document& changed) {
    return config::check_rules(changed, other.document, services);
  };
  options.pause = context.pause;
  BOOST_LEAF_AUTO(stamp, config::list_editor(*context.store, options).apply(kind, edit));
  return wait_in_force(kind, stamp, line, context);
}

exit_code wait_in_force(list_kind kind,
                        const config::list_stamp& stamp,
                        const command_line& line,
                        const command_context& context) {
  const std::string written = std::string(to_string(kind)) + " version " +
                              std::to_string(stamp.version.value()) + " (edit " +
                              config::to_string(stamp.edit) + ") is written";
  nlohmann::json result = {{"list", to_string(kind)},
                           {"version", stamp.version.value()},
                           {"edit", config::to_string(stamp.edit)}};
  if (line.wait <= base::duration::zero()) {
    show_result(line, context, result, written);
    return exit_code::ok;
  }
  const base::instant limit = context.clock() + line.wait;
  std::vector<std::string> lagging_hosts = find_lagging_hosts(kind, stamp, context);
  while (!lagging_hosts.empty() && context.clock() < limit) {
    context.pause(poll_interval);
    lagging_hosts = find_lagging_hosts(kind, stamp, context);
  }
  result["waiting_for"] = lagging_hosts;
  const std::string state = lagging_hosts.empty() ? " and in force on every listed host"
                                                  : "; not yet in force on " + join(lagging_hosts);
  show_result(line, context, result, written + state);
  return lagging_hosts.empty() ? exit_code::ok : exit_code::waiting;
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
