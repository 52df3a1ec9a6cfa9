#include "catkintack/config/list_history.hpp"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace catkintack::config {
namespace {

namespace leaf = boost::leaf;

std::string entry_text(const entry_map& entries, const std::string& name) {
  const auto found = entries.find(name);
  return found == entries.end() ? "" : found->second;
}

void set_entry(entry_map& entries, const std::string& name, const std::string& text) {
  if (text.empty()) {
    entries.erase(name);
  } else {
    entries[name] = text;
  }
}

const edit_record* last_edit_of(const list_document& document, const std::string& entry) {
  const auto changes_entry = [&entry](const edit_record& record) {
    return std::any_of(record.changes.begin(), record.changes.end(),
                       [&entry](const entry_change& change) { return change.entry == entry; });
  };
  const auto found =
      std::find_if(document.history.rbegin(), document.history.rend(), changes_entry);
  return found == document.history.rend() ? nullptr : &*found;
}

leaf::error_id conflict(const list_document& document,
                        const edit_record& edit,
                        const std::string& entry) {
  const edit_record* const other = last_edit_of(document, entry);
  const std::string by = other == nullptr
                             ? "an edit that is no longer in the history"
                             : "edit " + to_string(other->edit) + " of " + other->author +
                                   " (version " + std::to_string(other->version.value()) + ")";
  return leaf::new_error(config_error{config_error_kind::version_conflict,
                                      "edit " + to_string(edit.edit) + " of " + edit.author +
                                          " is not applied: entry \"" + entry +
                                          "\" was changed meanwhile by " + by});
}

}  // namespace

std::string to_string(base::edit_id edit) {
  constexpr std::size_t digits = 16;
  std::array<char, digits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, edit.value());
  return text.data();
}

leaf::result<entry_map> entries_at(const list_document& document, base::list_version version) {
  entry_map entries = document.entries;
  base::list_version reached = document.stamp.version;
  const std::vector<edit_record> records(document.history.rbegin(), document.history.rend());
  for (const edit_record& record : records) {
    if (reached <= version || record.version != reached) {
      break;
    }
    for (const entry_change& change : record.changes) {
      set_entry(entries, change.entry, change.before);
    }
    reached = base::list_version(reached.value() - 1);
  }
  if (reached != version) {
    return leaf::new_error(config_error{
        config_error_kind::invalid_entry,
        "the history of " + std::string(to_string(document.kind)) + " does not hold version " +
            std::to_string(version.value()) + "; versions run from " +
            std::to_string(document.history.empty()
                               ? document.stamp.version.value()
                               : document.history.front().version.value() - 1) +
            " to " + std::to_string(document.stamp.version.value())});
  }
  return entries;
}

std::vector<entry_change> difference(const entry_map& from, const entry_map& to) {
  entry_map names = from;
  names.insert(to.begin(), to.end());
  std::vector<entry_change> changes;
  for (const auto& [name, text] : names) {
    entry_change change{name, entry_text(from, name), entry_text(to, name)};
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

leaf::result<void> rebase(list_document& document, const edit_record& edit) {
  edit_record applied = edit;
  for (entry_change& change : applied.changes) {
    const std::string current = entry_text(document.entries, change.entry);
    if (current != change.before && current != change.after) {
      return conflict(document, edit, change.entry);
    }
    change.before = current;
    set_entry(document.entries, change.entry, change.after);
  }
  document.stamp = {document.stamp.version.next(), edit.edit};
  applied.version = document.stamp.version;
  document.history.push_back(std::move(applied));
  return {};
}

const edit_record* find_edit(const list_document& document, base::edit_id edit) {
  const auto found =
      std::find_if(document.history.begin(), document.history.end(),
                   [edit](const edit_record& record) { return record.edit == edit; });
  return found == document.history.end() ? nullptr : &*found;
}

}  // namespace catkintack::config
