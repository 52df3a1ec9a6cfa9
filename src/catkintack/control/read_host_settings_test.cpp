#include "catkintack/control/read_host_settings.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace catkintack::control {
namespace {

namespace leaf = boost::leaf;

constexpr const char* valid_settings =
    "[host]\nid = h\nregion = east\nfailure_domain = one\n[regions]\none = east\ntwo = west\n"
    "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n"
    "[registry]\naddress = 127.0.0.1:4\n[peers]\nseeds = 127.0.0.1:5,127.0.0.1:6\n"
    "[stop]\nlimit = 2.5s\n[future]\nkey = value\n";

class settings_file {
 public:
  explicit settings_file(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("host_settings_test_" + std::to_string(::getpid()) + ".ini")) {
    std::ofstream(path_) << text;
  }
  settings_file(const settings_file&) = delete;
  settings_file& operator=(const settings_file&) = delete;
  settings_file(settings_file&&) = delete;
  settings_file& operator=(settings_file&&) = delete;
  ~settings_file() { std::filesystem::remove(path_); }

  std::string path() const { return path_; }

 private:
  std::filesystem::path path_;
};

std::string error_of(const std::string& text) {
  const settings_file file(text);
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(read_host_settings(file.path()));
        return std::string();
      },
      [](const host_settings_error& error) { return error.message; },
      [] { return std::string("unknown"); });
}

TEST(host_settings, valid_file_is_read) {
  const settings_file file(valid_settings);
  const auto read = read_host_settings(file.path());
  ASSERT_TRUE(read);
  EXPECT_EQ(read->host.value(), "h");
  EXPECT_EQ(read->seeds.size(), 2U);
  EXPECT_EQ(read->regions.at(base::failure_domain_id("two")).value(), "west");
  EXPECT_EQ(read->stop_limit, std::chrono::milliseconds(2500));
}

TEST(host_settings, all_problems_are_reported_together) {
  const std::string error = error_of(
      "[host]\nid = h\nregion = east\n[listen]\ncallers = here\nreadiness = 127.0.0.1:2\n"
      "peers = 127.0.0.1:3\n[registry]\naddress = 127.0.0.1:4\n[stop]\nlimit = soon\n"
      "[repeats]\nratio = -1\n");
  EXPECT_NE(error.find("host.failure_domain is missing"), std::string::npos);
  EXPECT_NE(error.find("listen.callers = here is wrong; allowed: IPv4:PORT"), std::string::npos);
  EXPECT_NE(error.find("stop.limit = soon is wrong; allowed: a span"), std::string::npos);
  EXPECT_NE(error.find("repeats.ratio = -1 is wrong"), std::string::npos);
}

TEST(host_settings, out_of_range_values_are_reported_with_the_allowed_range) {
  const std::string error = error_of(std::string(valid_settings) +
                                     "[probes]\nper_call = 0\nneighbours = 2.5\n"
                                     "remote_per_call = 65\n[calls]\nhold_share = 1.5\n"
                                     "queue_new = 2\nremote_byte_limit = -1\n");
  EXPECT_NE(error.find("per_call = 0 is wrong; allowed: a whole number from 1 to 64"),
            std::string::npos);
  EXPECT_NE(error.find("neighbours = 2.5 is wrong"), std::string::npos);
  EXPECT_NE(error.find("remote_per_call = 65 is wrong"), std::string::npos);
  EXPECT_NE(error.find("hold_share = 1.5 is wrong; allowed: a number from 0 to 1"),
            std::string::npos);
  EXPECT_NE(error.find("queue_new = 2 is wrong"), std::string::npos);
  EXPECT_NE(error.find("remote_byte_limit = -1 is wrong"), std::string::npos);
}

TEST(host_settings, syntax_error_reports_the_line_number) {
  EXPECT_NE(error_of("[host]\nid = h\nnonsense\n").find(":3: neither"), std::string::npos);
}

TEST(host_settings, missing_file_is_an_error) {
  const auto read = read_host_settings("/nonexistent/settings.ini");
  EXPECT_FALSE(read);
}

TEST(host_settings, first_start_is_a_flag) {
  EXPECT_EQ(error_of(std::string(valid_settings) + "[host]\nfirst_start = true\n"), "");
  EXPECT_NE(error_of(std::string(valid_settings) + "[host]\nfirst_start = yes\n")
                .find("allowed: true or false"),
            std::string::npos);
}

}  // namespace
}  // namespace catkintack::control
