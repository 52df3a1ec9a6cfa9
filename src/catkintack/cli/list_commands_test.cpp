#include "catkintack/cli/list_commands.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "catkintack/cli/usage_error.hpp"
#include "catkintack/config/list_document.hpp"
#include "fake_store.hpp"

namespace catkintack::cli {
namespace {

namespace leaf = boost::leaf;
using tests::fake_store;
using tests::store_fault;

/// Mock of the store that is backed by an in-memory store.
class mock_store : public config::store {
 public:
  MOCK_METHOD(leaf::result<config::stored_value>, read, (const std::string&), (override));
  MOCK_METHOD(leaf::result<config::swap_result>,
              compare_and_swap,
              (const std::string&, std::uint64_t, const std::string&),
              (override));
  MOCK_METHOD(leaf::result<std::optional<config::stored_value>>,
              watch,
              (const std::string&, std::uint64_t, base::duration),
              (override));
  MOCK_METHOD(leaf::result<bool>,
              hold_lease,
              (const std::string&, const std::string&, base::duration),
              (override));
};

/// Runs commands and captures their output.
class list_commands_test : public ::testing::Test {
 protected:
  list_commands_test() {
    using ::testing::_;
    ON_CALL(store_, read(_)).WillByDefault([this](const std::string& key) {
      return backing_.read(key);
    });
    ON_CALL(store_, compare_and_swap(_, _, _))
        .WillByDefault(
            [this](const std::string& key, std::uint64_t revision, const std::string& value) {
              return backing_.compare_and_swap(key, revision, value);
            });
  }

  /// Runs a command; returns its output followed by its error or exit code.
  std::string run(const std::vector<std::string>& words, command_line line = {}) {
    line.arguments = words;
    line.operator_name = "ada";
    std::ostringstream out;
    std::istringstream in(answer_);
    command_context context;
    context.store = &store_;
    context.reports = [this] { return reports_; };
    context.services = [] { return std::set<std::string>{"scan-service"}; };
    context.list_text = [this](const base::host_id&, config::list_kind) {
      return std::optional<std::string>(host_text_);
    };
    context.clock = [this] { return now_; };
    context.wall_clock = [] { return base::wall_time(std::chrono::seconds(1'000)); };
    context.random = [this] { return ++last_edit_; };
    context.pause = [this](base::duration span) { now_ += span; };
    context.in = &in;
    context.out = &out;
    const auto kind =
        words[0] == "plans" ? config::list_kind::plans : config::list_kind::allowances;
    const std::string end = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_AUTO(code, run_list_command(kind, line, context));
          return "exit " + std::to_string(static_cast<int>(code));
        },
        [](const usage_error& error) { return "usage: " + error.message; },
        [](const config::config_error& error) { return "error: " + error.message; },
        [] { return std::string("other error"); });
    return out.str() + end;
  }

  std::string set_allowance() {
    command_line line;
    line.rate_per_second = 10;
    return run({"allowances", "set", "gold", "scan-service"}, line);
  }

  std::string set_customer(const std::string& name, const std::string& plan) {
    command_line line;
    line.key = "key of " + name;
    return run({"plans", "set", name, plan}, line);
  }

  fake_store backing_;
  ::testing::NiceMock<mock_store> store_;
  std::vector<host_report> reports_;
  std::string host_text_;
  std::string answer_;
  base::instant now_{};
  std::uint64_t last_edit_ = 0;
};

TEST_F(list_commands_test, edit_history_and_rollback) {
  EXPECT_EQ(set_allowance(),
            "allowances version 1 (edit 0000000000000001) is written and in force on every listed "
            "host\nexit 0");
  EXPECT_EQ(set_customer("mercato", "gold").substr(0, 15), "plans version 1");
  EXPECT_EQ(set_customer("porto", "gold").substr(0, 15), "plans version 2");
  EXPECT_EQ(run({"plans", "remove", "mercato"}).substr(0, 15), "plans version 3");
  EXPECT_EQ(run({"plans", "history"}),
            "1  1000  0000000000000002  ada  set mercato\n"
            "2  1000  0000000000000003  ada  set porto\n"
            "3  1000  0000000000000004  ada  remove mercato\nexit 0");
  answer_ = "y\n";
  const std::string rolled_back = run({"plans", "rollback", "2"});
  EXPECT_NE(rolled_back.find("+ {\"customer\":\"mercato\""), std::string::npos);
  EXPECT_NE(rolled_back.find("plans version 4"), std::string::npos);
  EXPECT_NE(run({"plans", "show", "mercato"}).find("\"plan\":\"gold\""), std::string::npos);
}

TEST_F(list_commands_test, invalid_edit_is_rejected_before_writing) {
  EXPECT_CALL(store_, compare_and_swap).Times(0);
  EXPECT_EQ(set_customer("mercato", "gold"),
            "error: plan \"gold\" of customer \"mercato\" has no allowance");
  EXPECT_EQ(run({"plans", "set", "mercato", "gold"}),
            "usage: customer \"mercato\" is new; give --key=KEY");
  EXPECT_EQ(run({"plans", "remove", "mercato"}), "error: plans has no entry \"mercato\"");
  command_line line;
  line.rate_per_second = -1;
  EXPECT_EQ(run({"allowances", "set", "gold", "scan-service"}, line),
            "error: allowance of plan \"gold\" for \"scan-service\" has a rate_per_second outside "
            "0 to 1000000");
  EXPECT_EQ(run({"allowances", "set", "gold", "scan"}),
            "error: service \"scan\" of allowance \"gold/scan\" has no upstream in the host list");
}

TEST_F(list_commands_test, output_names_hosts_without_the_edit) {
  reports_ = {{base::host_id("gw-1"), true, {}}, {base::host_id("gw-2"), false, {}}};
  EXPECT_EQ(set_allowance(),
            "allowances version 1 (edit 0000000000000001) is written; not yet in force on gw-1 "
            "(version 0), gw-2 (no answer)\nexit 5");
  EXPECT_GE(now_ - base::instant{}, std::chrono::seconds(7));
}

TEST_F(list_commands_test, write_is_unknown_when_its_answer_is_lost_and_the_store_is_unavailable) {
  backing_.write_faults = {store_fault::lost_applied};
  backing_.read_faults.assign(100, store_fault::unavailable);
  backing_.read_faults[0] = backing_.read_faults[1] = backing_.read_faults[2] = store_fault::none;
  EXPECT_EQ(set_allowance(),
            "error: edit 0000000000000001 of allowances may or may not be applied: the store gave "
            "no answer; `catkintack allowances history` shows the edit when it was");
}

TEST_F(list_commands_test, outdated_store_is_not_edited_and_can_be_recovered) {
  set_allowance();
  const config::stored_value old = backing_.values[config::allowances_key];
  command_line line;
  line.rate_per_second = 20;
  run({"allowances", "set", "gold", "scan-service"}, line);
  host_text_ = backing_.values[config::allowances_key].value;
  host_report report{base::host_id("gw-1"), true, {}};
  report.in_force.at(1) = {base::list_version(2), base::edit_id(2)};
  reports_ = {report};
  backing_.values[config::allowances_key] = old;
  line.rate_per_second = 30;
  EXPECT_EQ(run({"allowances", "set", "gold", "scan-service"}, line),
            "error: the store holds allowances version 1 (edit 0000000000000001), but version 2 "
            "(edit 0000000000000002) is in force on gw-1; run `catkintack allowances recover` "
            "first");
  line.yes = true;
  line.wait = {};
  EXPECT_NE(run({"allowances", "recover"}, line).find("allowances version 3"), std::string::npos);
  EXPECT_NE(run({"allowances", "show", "gold", "scan-service"}).find("20.0"), std::string::npos);
}

TEST_F(list_commands_test, file_is_applied_as_changes_to_its_base_version) {
  set_allowance();
  set_customer("mercato", "gold");
  const std::string exported = run({"plans", "list"});
  set_customer("porto", "gold");
  const std::string path = ::testing::TempDir() + "catkintack-plans.json";
  std::string text = exported.substr(0, exported.rfind("exit"));
  text.replace(text.find("\"mercato\""), 9, "\"mercati\"");
  std::ofstream(path) << text;
  EXPECT_NE(run({"plans", "apply", path}).find("nothing is changed\nexit 1"), std::string::npos);
  command_line line;
  line.yes = true;
  EXPECT_NE(run({"plans", "apply", path}, line).find("plans version 3"), std::string::npos);
  EXPECT_NE(run({"plans", "list"}).find("porto"), std::string::npos);
}

}  // namespace
}  // namespace catkintack::cli
