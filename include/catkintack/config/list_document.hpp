/// @file
/// A list with its entries by name and its history, as operators edit it.
#pragma once

#include <boost/leaf.hpp>
#include <map>
#include <string>
#include <vector>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/edit_record.hpp"
#include "catkintack/config/list_body.hpp"
#include "catkintack/config/list_stamp.hpp"

namespace catkintack::config {

/// The store's limit of a value is 1,000,000 bytes; the rest is room for one more edit.
inline constexpr std::size_t max_document_bytes = 950'000;
/// Edits kept at most; older ones go first.
inline constexpr std::size_t max_history_edits = 50;
/// Bytes of history kept at most.
inline constexpr std::size_t max_history_bytes = 100'000;

/// @brief A list that can be edited.
struct list_document {
  list_kind kind = list_kind::plans;
  list_stamp stamp;
  std::vector<edit_record> history;            ///< Oldest first.
  std::map<std::string, std::string> entries;  ///< JSON text of each entry, by name.

  bool operator==(const list_document&) const = default;
};

/// @brief Reads a list.
/// @param kind The list.
/// @param text The JSON text; empty for a list that was never written.
/// @return The document, or a config_error naming the first fault.
boost::leaf::result<list_document> parse_document(list_kind kind, const std::string& text);

/// @brief Reads the entries of a file, which needs no version and no history.
/// @param kind The list.
/// @param text An object with the list's array, as `list --json` writes it.
/// @return The entries by name, or a config_error naming the first fault.
boost::leaf::result<std::map<std::string, std::string>> parse_entries(list_kind kind,
                                                                      const std::string& text);

/// @brief Writes a list.
/// @param document The list.
/// @return The JSON text; old history is left out as its limits demand.
std::string to_json(const list_document& document);

/// @brief Writes a list without its history, for operators and files.
/// @param document The list.
/// @return The JSON text, indented.
std::string to_file_text(const list_document& document);

/// @brief Reads what hosts need to pass a list on.
/// @param kind The list.
/// @param text The JSON text; empty for a list that was never written.
/// @return The body, or a config_error when the text is no valid list.
boost::leaf::result<list_body> parse_body(list_kind kind, const std::string& text);

}  // namespace catkintack::config
