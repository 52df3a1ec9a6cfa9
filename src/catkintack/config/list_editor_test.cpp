#include "catkintack/config/list_editor.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <memory>
#include <set>

#include "catkintack/config/key_hash.hpp"
#include "catkintack/config/list_history.hpp"
#include "catkintack/config/list_rules.hpp"
#include "fake_store.hpp"

namespace catkintack::config {
namespace {

namespace leaf = boost::leaf;
using tests::fake_store;
using tests::store_fault;

std::string customer_text(const std::string& name, const std::string& plan) {
  return R"({"customer":")" + name + R"(","key_hash":")" + hash_key(name) + R"(","plan":")" + plan +
         R"("})";
}

edit_record make_edit(std::uint64_t id,
                      const std::string& author,
                      const std::string& entry,
                      const std::string& before,
                      const std::string& after) {
  edit_record edit;
  edit.edit = base::edit_id(id);
  edit.author = author;
  edit.summary = "set " + entry;
  edit.changes = {{entry, before, after}};
  return edit;
}

/// Applies an edit and returns its result as text.
std::string apply(fake_store& store, const edit_record& edit) {
  list_editor_options options;
  options.validate = [](const list_document&) -> leaf::result<void> { return {}; };
  options.pause = [](base::duration) {};
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(stamp, list_editor(store, options).apply(list_kind::plans, edit));
        return "version " + std::to_string(stamp.version.value());
      },
      [](const config_error& error) {
        switch (error.kind) {
          case config_error_kind::write_unknown:
            return "unknown: " + error.message;
          case config_error_kind::version_conflict:
            return "conflict: " + error.message;
          default:
            return "refused: " + error.message;
        }
      },
      [] { return std::string("other error"); });
}

list_document stored_plans(fake_store& store) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<list_document> {
        BOOST_LEAF_AUTO(read, read_list(store, list_kind::plans));
        return read.document;
      },
      [] { return list_document{}; });
}

const edit_record add_mercato =
    make_edit(1, "ada", "mercato", "", customer_text("mercato", "gold"));
const edit_record add_porto = make_edit(2, "bea", "porto", "", customer_text("porto", "gold"));

TEST(list_editor, finds_its_edit_after_a_lost_write_response) {
  fake_store store;
  store.write_faults = {store_fault::lost_applied};
  EXPECT_EQ(apply(store, add_mercato), "version 1");
  EXPECT_EQ(stored_plans(store).stamp.version.value(), 1U);
}

TEST(list_editor, retries_a_write_that_was_not_applied) {
  fake_store store;
  store.write_faults = {store_fault::lost_dropped};
  EXPECT_EQ(apply(store, add_mercato), "version 1");
  EXPECT_EQ(stored_plans(store).history.size(), 1U);
}

TEST(list_editor, applies_the_edit_once_when_the_first_write_arrives_late) {
  fake_store store;
  store.write_faults = {store_fault::lost_delayed};
  EXPECT_EQ(apply(store, add_mercato), "version 1");
  EXPECT_EQ(stored_plans(store).history.size(), 1U);
}

TEST(list_editor, reports_write_unknown_while_the_store_cannot_be_read) {
  fake_store store;
  store.write_faults = {store_fault::lost_applied};
  store.read_faults.assign(100, store_fault::unavailable);
  store.read_faults.front() = store_fault::none;
  EXPECT_EQ(apply(store, add_mercato),
            "unknown: edit 0000000000000001 of plans may or may not be applied: the store gave no "
            "answer; `catkintack plans history` shows the edit when it was");
}

TEST(list_editor, fails_without_writing_while_the_store_is_unavailable) {
  fake_store store;
  store.read_faults = {store_fault::unavailable};
  EXPECT_EQ(apply(store, add_mercato), "refused: the store gave no answer");
  store.write_faults = {store_fault::unavailable};
  EXPECT_EQ(apply(store, add_mercato), "refused: the store gave no answer");
  EXPECT_EQ(stored_plans(store).stamp.version.value(), 0U);
}

TEST(list_editor, rebases_onto_a_concurrent_edit_of_another_entry) {
  fake_store store;
  store.before_write = [&store] { EXPECT_EQ(apply(store, add_porto), "version 1"); };
  EXPECT_EQ(apply(store, add_mercato), "version 2");
  EXPECT_EQ(stored_plans(store).entries.size(), 2U);
}

TEST(list_editor, names_both_edits_in_a_conflict) {
  fake_store store;
  const edit_record other = make_edit(7, "bea", "mercato", "", customer_text("mercato", "silver"));
  store.before_write = [&] { EXPECT_EQ(apply(store, other), "version 1"); };
  EXPECT_EQ(apply(store, add_mercato),
            "conflict: edit 0000000000000001 of ada is not applied: entry \"mercato\" was changed "
            "meanwhile by edit 0000000000000007 of bea (version 1)");
}

TEST(list_editor, reports_a_conflict_when_another_edit_rules_out_the_write_in_doubt) {
  fake_store store;
  const edit_record other = make_edit(7, "bea", "mercato", "", customer_text("mercato", "silver"));
  store.write_faults = {store_fault::lost_dropped};
  store.before_write = [&] {
    store.write_faults.clear();
    EXPECT_EQ(apply(store, other), "version 1");
    store.write_faults = {store_fault::lost_dropped};
  };
  EXPECT_EQ(apply(store, add_mercato).substr(0, 9), "conflict:");
}

TEST(list_editor, rejects_a_list_above_the_size_limit) {
  fake_store store;
  edit_record edit = add_mercato;
  edit.changes.clear();
  constexpr int customers = 8000;
  for (int index = 0; index < customers; ++index) {
    const std::string name = "customer-" + std::to_string(index);
    edit.changes.push_back({name, "", customer_text(name, "gold")});
  }
  EXPECT_NE(apply(store, edit).find("above its limit of 950000"), std::string::npos);
  EXPECT_TRUE(store.values[plans_key].value.empty());
}

TEST(list_history, returns_earlier_versions_and_rejects_unknown_ones) {
  fake_store store;
  apply(store, add_mercato);
  apply(store, add_porto);
  const list_document document = stored_plans(store);
  const auto first = entries_at(document, base::list_version(1));
  ASSERT_TRUE(first);
  EXPECT_EQ(first.value().size(), 1U);
  EXPECT_TRUE(entries_at(document, base::list_version(0)));
  EXPECT_FALSE(entries_at(document, base::list_version(3)));
}

TEST(list_history, keeps_a_bounded_number_of_edits) {
  fake_store store;
  std::string before;
  for (std::uint64_t edit = 1; edit <= max_history_edits + 10; ++edit) {
    const std::string after = customer_text("mercato", "plan-" + std::to_string(edit));
    apply(store, make_edit(edit, "ada", "mercato", before, after));
    before = after;
  }
  const list_document document = stored_plans(store);
  EXPECT_EQ(document.history.size(), max_history_edits);
  EXPECT_EQ(document.stamp.version.value(), max_history_edits + 10);
  EXPECT_FALSE(entries_at(document, base::list_version(5)));
}

std::string rules_error(const list_document& changed, const list_document& other) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(check_rules(changed, other, {"scan-service"}));
        return std::string("ok");
      },
      [](const config_error& error) { return error.message; }, [] { return std::string("other"); });
}

list_document plans_of(const std::vector<entry_change>& changes) {
  list_document document;
  for (const entry_change& change : changes) {
    document.entries[change.entry] = change.after;
  }
  document.history = {{base::list_version(1), base::edit_id(1), "ada", 0, "", changes}};
  return document;
}

TEST(list_rules, report_a_plan_without_allowance_a_duplicate_key_and_an_unknown_service) {
  list_document allowances;
  allowances.kind = list_kind::allowances;
  EXPECT_EQ(rules_error(plans_of(add_mercato.changes), allowances),
            "plan \"gold\" of customer \"mercato\" has no allowance");
  const std::string doubled =
      R"({"customer":"porto","plan":"gold","key_hash":")" + hash_key("mercato") + "\"}";
  EXPECT_EQ(rules_error(plans_of({add_mercato.changes[0], {"porto", "", doubled}}), allowances),
            "customers \"mercato\" and \"porto\" have the same key");
  const std::string allowance =
      R"({"plan":"gold","service":"scan","rate_per_second":1,"burst":1,"max_concurrent":1})";
  allowances.entries["gold/scan"] = allowance;
  allowances.history = {{{}, {}, "ada", 0, "", {{"gold/scan", "", allowance}}}};
  EXPECT_EQ(rules_error(allowances, plans_of(add_mercato.changes)),
            "service \"scan\" of allowance \"gold/scan\" has no upstream in the host list");
  EXPECT_EQ(rules_error(plans_of(add_mercato.changes), allowances), "ok");
}

std::uint64_t race_count = 0;

/// Up to three operators edit at once. Their reads and writes interleave, and responses to writes
/// are lost.
RC_GTEST_PROP(list_editor_property, accepted_edits_are_applied_exactly_once, ()) {
  fake_store store;
  const auto random_faults = [] {
    std::deque<store_fault> faults;
    for (int count = *rc::gen::inRange(0, 6); count > 0; --count) {
      faults.push_back(*rc::gen::element(store_fault::none, store_fault::lost_applied,
                                         store_fault::lost_dropped, store_fault::lost_delayed));
    }
    return faults;
  };
  std::set<std::uint64_t> accepted;
  std::set<std::uint64_t> refused;
  std::uint64_t last_edit = 0;
  std::function<void(int)> edit = [&](int depth) {
    const std::string entry = "customer-" + std::to_string(*rc::gen::inRange(0, 3));
    const std::uint64_t id = ++last_edit;
    const entry_map entries = stored_plans(store).entries;
    const auto found = entries.find(entry);
    const std::string before = found == entries.end() ? "" : found->second;
    if (depth > 0) {
      store.before_write = [&edit, depth] { edit(depth - 1); };
    }
    const std::string result = apply(
        store,
        make_edit(id, "ada", entry, before, customer_text(entry, "plan-" + std::to_string(id))));
    if (result.rfind("version", 0) == 0) {
      accepted.insert(id);
    } else if (result.rfind("unknown", 0) != 0) {
      refused.insert(id);
    }
  };
  for (int turn = 0; turn < 10; ++turn) {
    store.write_faults = random_faults();
    edit(*rc::gen::inRange(0, 3));
  }
  ++race_count;
  const list_document document = stored_plans(store);
  std::multiset<std::uint64_t> kept;
  for (const edit_record& record : document.history) {
    kept.insert(record.edit.value());
  }
  RC_ASSERT(kept.size() == document.stamp.version.value());
  for (const std::uint64_t id : accepted) {
    RC_ASSERT(kept.count(id) == 1U);
  }
  for (const std::uint64_t id : refused) {
    RC_ASSERT(kept.count(id) == 0U);
  }
}

class race_reporter : public ::testing::Environment {
 public:
  void TearDown() override { std::cout << "operators' races tried: " << race_count << "\n"; }
};

const auto* const registered =
    ::testing::AddGlobalTestEnvironment(std::make_unique<race_reporter>().release());

}  // namespace
}  // namespace catkintack::config
