#include "catkintack/daemon/settings.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::daemon {
namespace {

namespace leaf = boost::leaf;

constexpr const char* valid_settings = R"([host]
id = gw-1
region = sicilia-est
failure_domain = catania
[listen]
callers = 127.0.0.1:8001
peers = 127.0.0.1:8002
admin = 127.0.0.1:8003
[platform]
store = 127.0.0.1:9001
host_list = 127.0.0.1:9002
[peers]
key = 0123456789abcdef
[calls]
default_time_left = 250ms
[service scan-service]
idempotent = yes
)";

std::string errors_of(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse_settings("gw.ini", text));
        return std::string();
      },
      [](const settings_error& error) { return error.message; },
      [] { return std::string("other error"); });
}

TEST(settings, reads_all_kinds_of_values) {
  const auto read = parse_settings("gw.ini", valid_settings);
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().host.value(), "gw-1");
  EXPECT_EQ(read.value().store.port, 9001);
  EXPECT_EQ(read.value().default_time_left, std::chrono::milliseconds(250));
  EXPECT_TRUE(read.value().services.at(base::service_id("scan-service")).idempotent);
}

TEST(settings, reports_all_errors_at_once_with_file_and_line) {
  const std::string text = std::string(valid_settings) +
                           "[calls]\nmax_attempts = 0\nstop_limit = 5\nmax_attemps = 3\n"
                           "[cals]\nx = 1\nnonsense\n";
  EXPECT_EQ(errors_of(text),
            "gw.ini:19: [calls] max_attempts must be a whole number from 1 to 10\n"
            "gw.ini:20: [calls] stop_limit must be a span with unit us, ms or s, from 100ms to "
            "600s\n"
            "gw.ini:21: [calls] has no key \"max_attemps\"; its keys are default_time_left, "
            "max_attempts, max_body, max_connections, stop_limit\n"
            "gw.ini:23: section [cals] does not exist; sections are [calls], [host], [listen], "
            "[log], [peers], [platform], [service NAME], [service scan-service]\n"
            "gw.ini:24: \"nonsense\" is neither a section nor key = value");
}

std::string with_replacement(const std::string& old_text, const std::string& new_text) {
  std::string text = valid_settings;
  return text.replace(text.find(old_text), old_text.size(), new_text);
}

TEST(settings, rejects_an_address_that_is_used_twice) {
  EXPECT_EQ(errors_of(with_replacement("admin = 127.0.0.1:8003", "admin = 127.0.0.1:8001")),
            "gw.ini: [listen] callers and [listen] admin are both 127.0.0.1:8001; each needs an "
            "address of its own");
  EXPECT_EQ(errors_of(with_replacement("host_list = 127.0.0.1:9002", "host_list = 127.0.0.1:9001")),
            "gw.ini: [platform] store and [platform] host_list are both 127.0.0.1:9001; each needs "
            "an address of its own");
}

TEST(settings, rejects_a_stop_limit_below_the_default_time_left) {
  EXPECT_EQ(errors_of(with_replacement("default_time_left = 250ms", "stop_limit = 2s")),
            "gw.ini: [calls] stop_limit must be at least [calls] default_time_left, or a planned "
            "stop cuts calls");
}

TEST(settings, errors_do_not_contain_the_secret) {
  EXPECT_THAT(errors_of(with_replacement("key = 0123456789abcdef", "key = short-secret")),
              ::testing::Not(::testing::HasSubstr("short-secret")));
}

TEST(settings, reference_lists_keys_and_allowed_values) {
  const std::string reference = settings_reference();
  EXPECT_THAT(reference, ::testing::HasSubstr("[listen]\n  callers (required): address for "
                                              "callers; an IPv4 address with a port"));
  EXPECT_THAT(reference, ::testing::HasSubstr("[service NAME]\n  idempotent: "));
}

RC_GTEST_PROP(settings, arbitrary_bytes_give_settings_or_errors, (const std::string& bytes)) {
  RC_ASSERT(!errors_of(bytes).empty());
}

RC_GTEST_PROP(settings, damaged_file_does_not_crash_the_parser, (const std::string& bytes)) {
  std::string text = valid_settings;
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - place);
  errors_of(text.replace(place, length, bytes));
}

TEST(settings, reports_missing_keys) {
  const std::string text = valid_settings;
  EXPECT_EQ(errors_of(text.substr(text.find("[listen]"))),
            "gw.ini: [host] id is missing: name of this host\n"
            "gw.ini: [host] region is missing: region of this host\n"
            "gw.ini: [host] failure_domain is missing: failure domain of this host");
}

}  // namespace
}  // namespace catkintack::daemon
