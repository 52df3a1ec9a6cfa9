#include "catkintack/config/list_rules.hpp"

#include <map>
#include <nlohmann/json.hpp>

namespace catkintack::config {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

leaf::error_id invalid(const std::string& message) {
  return leaf::new_error(config_error{config_error_kind::invalid_entry, message});
}

leaf::error_id plan_without_allowance(const std::string& plan, const std::string& customer) {
  return invalid("plan \"" + plan + "\" of customer \"" + customer + "\" has no allowance");
}

leaf::error_id unknown_service(const std::string& service, const std::string& entry) {
  return invalid("service \"" + service + "\" of allowance \"" + entry +
                 "\" has no upstream in the host list");
}

leaf::error_id duplicate_key(const std::string& owner, const std::string& customer) {
  return invalid("customers \"" + owner + "\" and \"" + customer + "\" have the same key");
}

std::string string_member(const std::string& entry, const char* name) {
  return json::parse(entry).at(name).get<std::string>();
}

leaf::result<void> check_keys(const list_document& plans) {
  std::map<std::string, std::string> owners;
  for (const auto& [customer, text] : plans.entries) {
    const auto [owner, inserted] = owners.emplace(string_member(text, "key_hash"), customer);
    if (!inserted) {
      return duplicate_key(owner->second, customer);
    }
  }
  return {};
}

/// Returns what the last edit changed: customers in the plans list, or plans in the allowances
/// list.
std::set<std::string> touched_by_edit(const list_document& changed) {
  std::set<std::string> touched;
  if (changed.history.empty()) {
    return touched;
  }
  for (const entry_change& change : changed.history.back().changes) {
    const std::string& text = change.after.empty() ? change.before : change.after;
    touched.insert(changed.kind == list_kind::plans ? change.entry : string_member(text, "plan"));
  }
  return touched;
}

/// Only customers that the edit affects are checked. Concurrent edits of both lists by two
/// operators can leave a customer whose plan has no allowance; this must not block all other edits.
leaf::result<void> check_plans(const list_document& plans,
                               const list_document& allowances,
                               const list_document& changed) {
  std::set<std::string> known;
  for (const auto& [name, text] : allowances.entries) {
    known.insert(string_member(text, "plan"));
  }
  const std::set<std::string> touched = touched_by_edit(changed);
  for (const auto& [customer, text] : plans.entries) {
    const std::string plan = string_member(text, "plan");
    const bool affected = touched.contains(changed.kind == list_kind::plans ? customer : plan);
    if (affected && !known.contains(plan)) {
      return plan_without_allowance(plan, customer);
    }
  }
  return {};
}

leaf::result<void> check_services(const list_document& allowances,
                                  const std::set<std::string>& services) {
  if (services.empty() || allowances.history.empty()) {
    return {};
  }
  for (const entry_change& change : allowances.history.back().changes) {
    if (change.after.empty()) {
      continue;
    }
    const std::string service = string_member(change.after, "service");
    if (!services.contains(service)) {
      return unknown_service(service, change.entry);
    }
  }
  return {};
}

}  // namespace

leaf::result<void> check_rules(const list_document& changed,
                               const list_document& other,
                               const std::set<std::string>& services) {
  const bool plans_changed = changed.kind == list_kind::plans;
  const list_document& plans = plans_changed ? changed : other;
  const list_document& allowances = plans_changed ? other : changed;
  if (plans_changed) {
    BOOST_LEAF_CHECK(check_keys(plans));
    return check_plans(plans, allowances, changed);
  }
  BOOST_LEAF_CHECK(check_plans(plans, allowances, changed));
  return check_services(allowances, services);
}

}  // namespace catkintack::config
