/// @file
/// Writes operators' edits to the store.
#pragma once

#include <boost/leaf.hpp>
#include <functional>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/edit_record.hpp"
#include "catkintack/config/list_document.hpp"
#include "catkintack/config/store.hpp"

namespace catkintack::config {

/// @brief What an editor needs besides the store.
struct list_editor_options {
  /// Judges a changed list before it is written.
  std::function<boost::leaf::result<void>(const list_document&)> validate;
  /// Waits between attempts.
  std::function<void(base::duration)> pause;
  int attempts = 12;  ///< Reads and writes, before the editor gives up.
};

/// @brief A list with the store's revision of it.
struct read_document {
  list_document document;
  std::uint64_t revision = 0;
};

/// @brief Reads a list.
/// @param from The store.
/// @param kind The list.
/// @return The list, or a config_error.
boost::leaf::result<read_document> read_list(store& from, list_kind kind);

/// @brief Applies edits by compare-and-swap.
class list_editor {
 public:
  /// @brief Makes an editor.
  /// @param target The store; it must outlive the editor.
  /// @param options Validation and waiting.
  list_editor(store& target, list_editor_options options);

  /// @brief Applies an edit to the newest version of a list, once. An answer that was lost is
  /// resolved by looking for the edit's id in the list.
  /// @param kind The list.
  /// @param edit The edit.
  /// @return The stamp that the edit made, or a config_error: version_conflict, invalid_entry or
  /// store_unavailable when it certainly was not applied, write_unknown when it may have been.
  boost::leaf::result<list_stamp> apply(list_kind kind, const edit_record& edit);

 private:
  struct progress {
    std::optional<list_stamp> done;
    bool in_doubt = false;  ///< A write was sent and its answer was lost.
    std::uint64_t doubt_revision = 0;
    config_error last;
  };

  boost::leaf::result<void> attempt(list_kind kind, const edit_record& edit, progress& state);
  boost::leaf::result<void> write(const list_document& document,
                                  std::uint64_t revision,
                                  progress& state);
  boost::leaf::error_id give_up(list_kind kind,
                                const edit_record& edit,
                                const progress& state) const;

  store& store_;
  list_editor_options options_;
};

}  // namespace catkintack::config
