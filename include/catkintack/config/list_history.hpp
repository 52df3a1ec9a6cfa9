/// @file
/// Restores earlier versions of a list, and computes and applies differences between versions.
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

/// @brief Returns the entries of an earlier version.
/// @param version The version; at most the list's current one.
/// @return The entries, or a config_error when the history does not cover the version.
boost::leaf::result<entry_map> entries_at(const list_document& document,
                                          base::list_version version);

/// @brief Returns one change for each entry that differs, ordered by name.
std::vector<entry_change> difference(const entry_map& from, const entry_map& to);

/// @brief Applies the changes of an edit to the newest version of a list.
/// @param document The list; its entries are unspecified after a conflict.
/// @param edit The edit; a change conflicts unless the entry still equals its before text or
/// already equals its after text.
/// @return A config_error of kind version_conflict that names both edits, if there is a conflict.
boost::leaf::result<void> rebase(list_document& document, const edit_record& edit);

/// @brief Returns the record of an edit, or null when the history does not contain it.
const edit_record* find_edit(const list_document& document, base::edit_id edit);

/// @brief Formats an edit id as 16 hexadecimal digits.
std::string to_string(base::edit_id edit);

}  // namespace catkintack::config
