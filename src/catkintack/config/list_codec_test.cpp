#include "catkintack/config/list_codec.hpp"

#include <gtest/gtest.h>

#include "catkintack/config/key_hash.hpp"

namespace catkintack::config {
namespace {

namespace leaf = boost::leaf;

std::string message_of(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse_allowances(text));
        return std::string("no error");
      },
      [](const config_error& error) { return error.message; },
      [] { return std::string("other error"); });
}

TEST(list_codec, round_trips_a_plans_list) {
  plans_list plans;
  plans.version = base::list_version(3);
  const customer wholesaler{base::customer_id("mercato"), base::plan_id("gold"), hash_key("k")};
  plans.customers.emplace(wholesaler.id, wholesaler);
  const auto read = parse_plans(to_json(plans));
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().version.value(), 3U);
  EXPECT_EQ(read.value().customers, plans.customers);
}

TEST(list_codec, names_the_invalid_entry) {
  EXPECT_EQ(message_of(R"({"version":1,"allowances":[{"plan":"gold","service":"scan-service",
      "rate_per_second":-1,"burst":1,"max_concurrent":1}]})"),
            "allowance of plan \"gold\" for \"scan-service\" has a rate_per_second outside 0 to "
            "1000000");
  EXPECT_EQ(message_of("{}").substr(0, 28), "allowances list is malformed");
}

// Guards against a number outside its type that is converted to a valid one (incident 15).
TEST(list_codec, rejects_counts_that_are_not_whole_numbers_in_range) {
  for (const char* count : {"4294967298", "18446744073709551618", "1e30", "2.5", "true"}) {
    for (const std::string name : {"burst", "max_concurrent"}) {
      std::string text = R"({"version":1,"allowances":[{"plan":"gold","service":"s",)"
                         R"("rate_per_second":1,"burst":1,"max_concurrent":1}]})";
      const std::string field = "\"" + name + "\":";
      text.replace(text.find(field) + field.size(), 1, count);
      EXPECT_FALSE(parse_allowances(text)) << name << " " << count;
    }
  }
}

TEST(list_codec, rejects_versions_that_are_not_whole_numbers) {
  for (const std::string version : {"18446744073709551618", "-1", "2.5", "true", "null"}) {
    EXPECT_FALSE(parse_allowances(R"({"version":)" + version + R"(,"allowances":[]})")) << version;
    EXPECT_FALSE(parse_plans(R"({"version":)" + version + R"(,"customers":[]})")) << version;
  }
}

TEST(key_hash, is_sha256) {
  EXPECT_EQ(hash_key("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace catkintack::config
