#include "catkintack/config/list_editor.hpp"

#include <utility>

#include "catkintack/config/list_history.hpp"

namespace catkintack::config {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration attempt_pause = std::chrono::milliseconds(250);

/// Errors that a later attempt cannot mend.
bool is_final(config_error_kind kind) {
  return kind != config_error_kind::store_unavailable && kind != config_error_kind::write_unknown;
}

leaf::result<void> check_size(list_kind kind, const std::string& text) {
  if (text.size() > max_document_bytes) {
    return leaf::new_error(config_error{
        config_error_kind::invalid_entry,
        "the " + std::string(to_string(kind)) + " list would hold " + std::to_string(text.size()) +
            " bytes, above its limit of " + std::to_string(max_document_bytes)});
  }
  return {};
}

}  // namespace

leaf::result<read_document> read_list(store& from, list_kind kind) {
  BOOST_LEAF_AUTO(stored, from.read(key_of(kind)));
  BOOST_LEAF_AUTO(document, parse_document(kind, stored.value));
  return read_document{std::move(document), stored.revision};
}

list_editor::list_editor(store& target, list_editor_options options)
    : store_(target), options_(std::move(options)) {}

leaf::result<list_stamp> list_editor::apply(list_kind kind, const edit_record& edit) {
  progress state;
  for (int count = 0; count < options_.attempts; ++count) {
    const bool final = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(attempt(kind, edit, state));
          return false;
        },
        [&](const config_error& error) {
          state.last = error;
          return is_final(error.kind);
        },
        [&] {
          state.last.message = "failed";
          return true;
        });
    if (state.done) {
      return *state.done;
    }
    if (final || (state.last.kind == config_error_kind::store_unavailable && !state.in_doubt)) {
      break;
    }
    options_.pause(attempt_pause);
  }
  return give_up(kind, edit, state);
}

leaf::result<void> list_editor::attempt(list_kind kind, const edit_record& edit, progress& state) {
  BOOST_LEAF_AUTO(read, read_list(store_, kind));
  if (const edit_record* const found = find_edit(read.document, edit.edit)) {
    state.done = list_stamp{found->version, found->edit};
    return {};
  }
  // A write in doubt expects the revision it was made from, so a newer one rules it out.
  state.in_doubt = state.in_doubt && read.revision == state.doubt_revision;
  BOOST_LEAF_CHECK(rebase(read.document, edit));
  BOOST_LEAF_CHECK(options_.validate(read.document));
  return write(read.document, read.revision, state);
}

leaf::result<void> list_editor::write(const list_document& document,
                                      std::uint64_t revision,
                                      progress& state) {
  const std::string text = to_json(document);
  BOOST_LEAF_CHECK(parse_document(document.kind, text));
  BOOST_LEAF_CHECK(check_size(document.kind, text));
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(swapped, store_.compare_and_swap(key_of(document.kind), revision, text));
        if (swapped == swap_result::applied) {
          state.done = document.stamp;
        } else {
          state.last = {config_error_kind::version_conflict, "the list kept changing"};
        }
        return {};
      },
      [&](const config_error& error) {
        state.last = error;
        if (error.kind == config_error_kind::write_unknown) {
          state.in_doubt = true;
          state.doubt_revision = revision;
        }
      },
      [&] {
        state.last = {config_error_kind::store_unavailable, "the store call failed"};
      });
  return {};
}

leaf::error_id list_editor::give_up(list_kind kind,
                                    const edit_record& edit,
                                    const progress& state) const {
  if (!state.in_doubt) {
    return leaf::new_error(state.last);
  }
  const std::string list = to_string(kind);
  return leaf::new_error(config_error{
      config_error_kind::write_unknown,
      "edit " + to_string(edit.edit) + " of " + list + " may or may not be applied: " +
          state.last.message + "; `catkintack " + list + " history` shows the edit when it was"});
}

}  // namespace catkintack::config
