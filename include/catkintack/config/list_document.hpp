/// @file
/// An editable list: entries by name, and the history of edits.
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

/// The store accepts values up to 1,000,000 bytes; the difference leaves space for one more edit.
inline constexpr std::size_t max_document_bytes = 950'000;
/// Largest number of edits in the history; the oldest are removed first.
inline constexpr std::size_t max_history_edits = 50;
/// Largest size of the history's JSON.
inline constexpr std::size_t max_history_bytes = 100'000;

/// @brief A list in the form in which operators edit it.
struct list_document {
  list_kind kind = list_kind::plans;
  list_stamp stamp;
  std::vector<edit_record> history;            ///< Oldest first.
  std::map<std::string, std::string> entries;  ///< JSON of each entry, by name.

  bool operator==(const list_document&) const = default;
};

/// @brief Parses a list.
/// @param text JSON; empty for a list that was never written.
/// @return The document, or a config_error that names the first error.
boost::leaf::result<list_document> parse_document(list_kind kind, const std::string& text);

/// @brief Parses the entries of a file, which needs no version and no history.
/// @param text A JSON object with the list's array, as printed by `list --json`.
/// @return The entries by name, or a config_error that names the first error.
boost::leaf::result<std::map<std::string, std::string>> parse_entries(list_kind kind,
                                                                      const std::string& text);

/// @brief Serializes a list as JSON. Old edits that exceed the limits of the history are left out.
std::string to_json(const list_document& document);

/// @brief Serializes a list without its history as indented JSON, for operators and files.
std::string to_file_text(const list_document& document);

/// @brief Validates a list and reads its stamp, which hosts need to send the list to peers.
/// @param text JSON; empty for a list that was never written.
/// @return The body, or a config_error when the text is not a valid list.
boost::leaf::result<list_body> parse_body(list_kind kind, const std::string& text);

}  // namespace catkintack::config
