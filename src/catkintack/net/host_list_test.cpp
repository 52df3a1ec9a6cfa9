#include "catkintack/net/host_list.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::net {
namespace {

namespace leaf = boost::leaf;

constexpr const char* valid =
    R"({"gateways":[{"host":"gw-1","callers":"10.1.0.1:80","peers":"10.1.0.1:81",)"
    R"("admin":"10.1.0.1:82","region":"rosario","failure_domain":"ros-norte","state":"live"}],)"
    R"("upstreams":[{"upstream":"m-1","service":"medidores","address":"10.1.1.1:80",)"
    R"("region":"rosario","failure_domain":"ros-norte","slots":3,"state":"leaving"}]})";

std::string parse_error_of(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse_host_list(text));
        return std::string();
      },
      [](const net_error& error) { return error.message; },
      [] { return std::string("other error"); });
}

std::string replace_in_valid(const std::string& old_text, const std::string& new_text) {
  std::string text = valid;
  return text.replace(text.find(old_text), old_text.size(), new_text);
}

TEST(host_list, parses_gateways_and_upstreams) {
  const auto list = parse_host_list(valid);
  ASSERT_TRUE(list);
  EXPECT_EQ(list.value().gateways.at(0).admin.port, 82);
  EXPECT_EQ(list.value().upstreams.at(0).slots, 3U);
  EXPECT_TRUE(list.value().upstreams.at(0).leaving);
}

/// @brief Returns the reason for which the upstream of a list is skipped, while its host is kept.
std::string skip_reason_of(const std::string& text) {
  const auto list = parse_host_list(text);
  EXPECT_TRUE(list && list->upstreams.empty() && list->gateways.size() == 1) << text.substr(0, 300);
  return list && list->skipped.size() == 1 ? list->skipped[0] : std::string();
}

TEST(host_list, error_names_the_invalid_value) {
  EXPECT_EQ(skip_reason_of(replace_in_valid("10.1.1.1:80", "10.1.1:80")),
            "host list: \"10.1.1:80\" is not an address of the form IP:PORT");
  EXPECT_EQ(skip_reason_of(replace_in_valid("leaving", "gone")),
            "host list: state is \"gone\"; expected live or leaving");
  EXPECT_EQ(parse_error_of(replace_in_valid("10.1.0.1:80", "10.1.0:80")),
            "host list: \"10.1.0:80\" is not an address of the form IP:PORT");
  EXPECT_EQ(parse_error_of(replace_in_valid("live", "gone")),
            "host list: state is \"gone\"; expected live or leaving");
}

TEST(host_list, rejects_slots_that_are_not_positive_integers) {
  for (const char* slots : {"0", "-1", "1.5", "4294967296", "1e300", "\"3\"", "null"}) {
    EXPECT_NE(skip_reason_of(replace_in_valid("\"slots\":3", std::string("\"slots\":") + slots)),
              "")
        << slots;
  }
}

// Guards against one malformed entry that makes all hosts stop following the list (incident 15).
TEST(host_list, malformed_upstream_does_not_hide_the_others) {
  const std::string sound =
      R"({"upstream":"m-2","service":"medidores","address":"10.1.1.2:80","region":"rosario",)"
      R"("failure_domain":"ros-norte","slots":3,"state":"live"})";
  for (const char* odd : {"7", "null", "[]", "{}", R"({"upstream":7})",
                          R"({"upstream":"m-3","service":"s","address":"10.1.1.3:65536"})"}) {
    const auto list = parse_host_list(replace_in_valid(
        R"("upstreams":[)", R"("upstreams":[)" + std::string(odd) + "," + sound + ","));
    ASSERT_TRUE(list) << odd;
    EXPECT_EQ(list->upstreams.size(), 2U) << odd;
    EXPECT_EQ(list->skipped.size(), 1U) << odd;
  }
}

// Guards against a deeply nested value that ends each process which reads the list (incident 15).
TEST(host_list, deeply_nested_value_is_malformed) {
  constexpr std::size_t levels = 400'000;
  const std::string nested = std::string(levels, '[') + std::string(levels, ']');
  EXPECT_NE(parse_error_of(replace_in_valid("\"slots\":3", "\"slots\":" + nested)), "");
}

RC_GTEST_PROP(host_list, random_bytes_are_rejected, (const std::string& bytes)) {
  RC_ASSERT(!parse_error_of(bytes).empty());
}

RC_GTEST_PROP(host_list, corrupted_list_does_not_crash, (const std::string& bytes)) {
  std::string text = valid;
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - place);
  RC_ASSERT(parse_error_of(text.replace(place, length, bytes)) != "other error");
}

}  // namespace
}  // namespace catkintack::net
