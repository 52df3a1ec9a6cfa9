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

TEST(host_list, error_names_the_invalid_value) {
  EXPECT_EQ(parse_error_of(replace_in_valid("10.1.1.1:80", "10.1.1:80")),
            "host list: \"10.1.1:80\" is not an address of the form IP:PORT");
  EXPECT_EQ(parse_error_of(replace_in_valid("leaving", "gone")),
            "host list: state is \"gone\"; expected live or leaving");
}

TEST(host_list, rejects_slots_that_are_not_positive_integers) {
  for (const char* slots : {"0", "-1", "1.5", "4294967296", "1e300", "\"3\"", "null"}) {
    EXPECT_NE(parse_error_of(replace_in_valid("\"slots\":3", std::string("\"slots\":") + slots)),
              "")
        << slots;
  }
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
