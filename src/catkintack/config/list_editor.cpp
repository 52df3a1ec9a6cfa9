#include "catkintack/config/list_editor.hpp"

#include <utility>

#include "catkintack/config/list_history.hpp"

namespace catkintack::config {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration attempt_pause = std::chrono::milliseconds(250);

/// Whether another attempt would fail with the same error.
bool is_final(config_error_kind kind) {
  return kind != config_error_kind::store_unavailable && kind != config_error_kind::write_unknown;
}

leaf::result<void> check_size(list_kind kind, const std::string& text) {
  if (text.size() > max_document_bytes) {
    return leaf::new_error(config_error{
        config_error_kind::invalid_entry,
        "the " + std::string(to_string(kind)) + " list would be " + std::to_string(text.size()) +
            " bytes, above its limit of " + std::to_string(max_document_bytes)});
  }
  return {};
}

}  // namespace

leaf::result<stored_document> read_list(store& from, list_kind kind) {
  BOOST_LEAF_AUTO(stored, from.read(key_of(kind)));
  BOOST_LEAF_AUTO(document, parse_document(kind, stored.value));
  return stored_document{std::move(document), stored.revision};
}

list_editor::list_editor(store& target, list_editor_options options)
    : store_(target), options_(std::move(options)) {}

leaf::result<list_stamp> list_editor::apply(list_kind kind, const edit_record& edit) {
  apply_state state;
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
    if (state.applied_stamp) {
      return *state.applied_stamp;
    }
    if (final ||
        (state.last.kind == config_error_kind::store_unavailable && !state.write_in_doubt)) {
      break;
    }
    options_.pause(attempt_pause);
  }
  return final_error(kind, edit, state);
}

leaf::result<void> list_editor::attempt(list_kind kind,
                                        const edit_record& edit,
                                        apply_state& state) {
  BOOST_LEAF_AUTO(read, read_list(store_, kind));
  if (const edit_record* const found = find_edit(read.document, edit.edit)) {
    state.applied_stamp = list_stamp{found->version, found->edit};
    return {};
  }
  // A write whose result is unknown can only be applied at the revision that it expects, so a newer
  // revision without the edit shows that it was not applied.
  state.write_in_doubt = state.write_in_doubt && read.revision == state.in_doubt_revision;
  BOOST_LEAF_CHECK(rebase(read.document, edit));
  BOOST_LEAF_CHECK(options_.validate(read.document));
  return write(read.document, read.revision, state);
}

leaf::result<void> list_editor::write(const list_document& document,
                                      std::uint64_t revision,
                                      apply_state& state) {
  const std::string text = to_json(document);
  BOOST_LEAF_CHECK(parse_document(document.kind, text));
  BOOST_LEAF_CHECK(check_size(document.kind, text));
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(swapped, store_.compare_and_swap(key_of(document.kind), revision, text));
        if (swapped == swap_result::applied) {
          state.applied_stamp = document.stamp;
        } else {
          state.last = {config_error_kind::version_conflict,
                        "the list was changed by another edit before the write"};
        }
        return {};
      },
      [&](const config_error& error) {
        state.last = error;
        if (error.kind == config_error_kind::write_unknown) {
          state.write_in_doubt = true;
          state.in_doubt_revision = revision;
        }
      },
      [&] {
        state.last = {config_error_kind::store_unavailable, "the store call failed"};
      });
  return {};
}

leaf::error_id list_editor::final_error(list_kind kind,
                                        const edit_record& edit,
                                        const apply_state& state) const {
  if (!state.write_in_doubt) {
    return leaf::new_error(state.last);
  }
  const std::string list = to_string(kind);
  return leaf::new_error(config_error{
      config_error_kind::write_unknown,
      "edit " + to_string(edit.edit) + " of " + list + " may or may not be applied: " +
          state.last.message + "; `catkintack " + list + " history` shows the edit when it was"});
}

}  // namespace catkintack::config
