/// @file
/// Applies operators' edits to the lists in the store.
#pragma once

#include <boost/leaf.hpp>
#include <functional>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/edit_record.hpp"
#include "catkintack/config/list_document.hpp"
#include "catkintack/config/store.hpp"

namespace catkintack::config {

/// @brief Validation, waiting and retry limit of a list_editor.
struct list_editor_options {
  /// Validates a changed list before it is written.
  std::function<boost::leaf::result<void>(const list_document&)> validate;
  /// Waits between attempts.
  std::function<void(base::duration)> pause;
  int attempts = 12;  ///< Largest number of read and write cycles per edit.
};

/// @brief A list with its revision in the store.
struct stored_document {
  list_document document;
  std::uint64_t revision = 0;
};

/// @brief Reads a list from the store.
boost::leaf::result<stored_document> read_list(store& from, list_kind kind);

/// @brief Applies edits with compare-and-swap.
class list_editor {
 public:
  /// @param target The store; it must outlive the editor.
  list_editor(store& target, list_editor_options options);

  /// @brief Applies an edit exactly once to the newest version of a list. When the response to a
  /// write was lost, the editor looks for the edit's id in the list's history.
  /// @return The stamp of the new version, or a config_error. The edit was certainly not applied
  /// with version_conflict, invalid_entry and store_unavailable; it may have been applied with
  /// write_unknown.
  boost::leaf::result<list_stamp> apply(list_kind kind, const edit_record& edit);

 private:
  struct apply_state {
    std::optional<list_stamp> applied_stamp;
    bool write_in_doubt = false;  ///< A write was sent, but the response was lost.
    std::uint64_t in_doubt_revision = 0;
    config_error last;
  };

  boost::leaf::result<void> attempt(list_kind kind, const edit_record& edit, apply_state& state);
  boost::leaf::result<void> write(const list_document& document,
                                  std::uint64_t revision,
                                  apply_state& state);
  boost::leaf::error_id final_error(list_kind kind,
                                    const edit_record& edit,
                                    const apply_state& state) const;

  store& store_;
  list_editor_options options_;
};

}  // namespace catkintack::config
