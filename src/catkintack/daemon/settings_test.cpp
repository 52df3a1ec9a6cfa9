#include "catkintack/daemon/settings.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::daemon {
namespace {

namespace leaf = boost::leaf;

constexpr const char* valid = R"([host]
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

std::string faults_of(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse_settings("gw.ini", text));
        return std::string();
      },
      [](const settings_error& error) { return error.message; },
      [] { return std::string("other error"); });
}

TEST(settings, reads_all_kinds_of_values) {
  const auto read = parse_settings("gw.ini", valid);
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().host.value(), "gw-1");
  EXPECT_EQ(read.value().store.port, 9001);
  EXPECT_EQ(read.value().default_time_left, std::chrono::milliseconds(250));
  EXPECT_TRUE(read.value().services.at(base::service_id("scan-service")).idempotent);
}

TEST(settings, reports_all_faults_at_once_with_file_and_line) {
  const std::string text = std::string(valid) +
                           "[calls]\nmax_attempts = 0\nstop_limit = 5\nmax_attemps = 3\n"
                           "[cals]\nx = 1\nnonsense\n";
  EXPECT_EQ(faults_of(text),
            "gw.ini:19: [calls] max_attempts must be a whole number from 1 to 10\n"
            "gw.ini:20: [calls] stop_limit must be a span with unit us, ms or s, from 100ms to "
            "600s\n"
            "gw.ini:21: [calls] has no key \"max_attemps\"; its keys are default_time_left, "
            "max_attempts, max_body, max_connections, stop_limit\n"
            "gw.ini:23: section [cals] does not exist; sections are [calls], [host], [listen], "
            "[log], [peers], [platform], [service NAME], [service scan-service]\n"
            "gw.ini:24: \"nonsense\" is neither a section nor key = value");
}

std::string with(const std::string& old_text, const std::string& new_text) {
  std::string text = valid;
  return text.replace(text.find(old_text), old_text.size(), new_text);
}

TEST(settings, every_address_serves_one_purpose) {
  EXPECT_EQ(faults_of(with("admin = 127.0.0.1:8003", "admin = 127.0.0.1:8001")),
            "gw.ini: [listen] callers and [listen] admin are both 127.0.0.1:8001; each needs an "
            "address of its own");
  EXPECT_EQ(faults_of(with("host_list = 127.0.0.1:9002", "host_list = 127.0.0.1:9001")),
            "gw.ini: [platform] store and [platform] host_list are both 127.0.0.1:9001; each needs "
            "an address of its own");
}

TEST(settings, a_planned_stop_outlasts_a_call) {
  EXPECT_EQ(faults_of(with("default_time_left = 250ms", "stop_limit = 2s")),
            "gw.ini: [calls] stop_limit must be at least [calls] default_time_left, or a planned "
            "stop cuts calls");
}

TEST(settings, never_shows_the_secret) {
  EXPECT_THAT(faults_of(with("key = 0123456789abcdef", "key = short-secret")),
              ::testing::Not(::testing::HasSubstr("short-secret")));
}

TEST(settings, reference_names_every_key_and_what_it_takes) {
  const std::string reference = settings_reference();
  EXPECT_THAT(reference, ::testing::HasSubstr("[listen]\n  callers (required): address for "
                                              "callers; an IPv4 address with a port"));
  EXPECT_THAT(reference, ::testing::HasSubstr("[service NAME]\n  idempotent: "));
}

RC_GTEST_PROP(settings, bytes_of_any_kind_give_settings_or_faults, (const std::string& bytes)) {
  RC_ASSERT(!faults_of(bytes).empty());
}

RC_GTEST_PROP(settings,
              a_valid_file_damaged_in_one_place_never_crashes,
              (const std::string& bytes)) {
  std::string text = valid;
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - place);
  faults_of(text.replace(place, length, bytes));
}

TEST(settings, reports_missing_keys) {
  const std::string text = valid;
  EXPECT_EQ(faults_of(text.substr(text.find("[listen]"))),
            "gw.ini: [host] id is missing: name of this host\n"
            "gw.ini: [host] region is missing: region of this host\n"
            "gw.ini: [host] failure_domain is missing: failure domain of this host");
}

}  // namespace
}  // namespace catkintack::daemon
