/// @file
/// Earlier versions of a list, and differences between versions.
#pragma once

#include <boost/leaf.hpp>
#include <map>
#include <string>
#include <vector>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/edit_record.hpp"
#include "catkintack/config/list_document.hpp"

namespace catkintack::config {

/// The entries of a list, by name.
using entry_map = std::map<std::string, std::string>;

/// @brief The entries as an earlier version had them.
/// @param document The list.
/// @param version The version; not above the list's own.
/// @return The entries, or a config_error when the history does not reach back so far.
boost::leaf::result<entry_map> entries_at(const list_document& document,
                                          base::list_version version);

/// @brief The changes that lead from some entries to others.
/// @param from The entries before.
/// @param to The entries after.
/// @return One change for each entry that differs, ordered by name.
std::vector<entry_change> difference(const entry_map& from, const entry_map& to);

/// @brief Puts changes on the newest version of a list.
/// @param document The list; changed when there is no conflict.
/// @param edit The edit, whose changes name the texts they were made from.
/// @return Nothing, or a config_error of kind version_conflict that names both edits.
boost::leaf::result<void> rebase(list_document& document, const edit_record& edit);

/// @brief Finds an edit in the history.
/// @param document The list.
/// @param edit The edit.
/// @return Its record, or null.
const edit_record* find_edit(const list_document& document, base::edit_id edit);

/// @brief Writes an edit id as operators see it.
/// @param edit The edit.
/// @return 16 hexadecimal digits.
std::string to_string(base::edit_id edit);

}  // namespace catkintack::config
