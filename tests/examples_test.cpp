#include <gtest/gtest.h>

#include <filesystem>
#include <set>

#include "catkintack/daemon/settings.hpp"
#include "catkintack/net/host_list.hpp"
#include "golden_file.hpp"

namespace catkintack::tests {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t hosts_per_user = 6;
constexpr std::size_t services_per_user = 4;
constexpr std::size_t upstreams_per_user = 48;

std::filesystem::path example_folder(const std::string& user) {
  return std::filesystem::path(GOLDEN_FOLDER) / "../../examples" / user;
}

std::vector<std::filesystem::path> settings_files(const std::string& user) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(example_folder(user))) {
    if (entry.path().extension() == ".ini") {
      files.push_back(entry.path());
    }
  }
  return files;
}

daemon::settings read_example(const std::filesystem::path& path) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<daemon::settings> { return daemon::read_settings(path.string()); },
      [](const daemon::settings_error& error) {
        ADD_FAILURE() << error.message;
        return daemon::settings{};
      },
      [] { return daemon::settings{}; });
}

class examples : public ::testing::TestWithParam<std::string> {};

TEST_P(examples, settings_are_valid_and_match_the_host_list) {
  const auto hosts = net::parse_host_list(read_file(example_folder(GetParam()) / "hosts.json"));
  ASSERT_TRUE(hosts);
  EXPECT_EQ(hosts.value().gateways.size(), hosts_per_user);
  EXPECT_EQ(hosts.value().upstreams.size(), upstreams_per_user);
  std::set<base::service_id> listed;
  for (const routing::upstream_record& upstream : hosts.value().upstreams) {
    listed.insert(upstream.service);
  }
  EXPECT_EQ(listed.size(), services_per_user);
  const auto files = settings_files(GetParam());
  EXPECT_EQ(files.size(), hosts_per_user);
  for (const auto& file : files) {
    const daemon::settings parsed = read_example(file);
    const auto& gateways = hosts.value().gateways;
    const auto same_host = [&parsed](const auto& record) { return record.host == parsed.host; };
    const auto record = std::find_if(gateways.begin(), gateways.end(), same_host);
    ASSERT_NE(record, gateways.end()) << file;
    EXPECT_EQ(record->callers, parsed.callers) << file;
    EXPECT_EQ(record->peers, parsed.peers) << file;
    EXPECT_EQ(record->admin, parsed.admin) << file;
    EXPECT_EQ(record->failure_domain, parsed.failure_domain) << file;
    for (const auto& [service, unused] : parsed.services) {
      EXPECT_TRUE(listed.contains(service)) << file << " " << service.value();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(users,
                         examples,
                         ::testing::Values("tracciamare", "cepl"),
                         [](const auto& tested) { return tested.param; });

std::string settings_page() {
  return "# Settings\n\n"
         "`catkintackd FILE` reads one INI file and checks it in full before it starts; "
         "`catkintack check-settings FILE`\ndoes only the check. Every fault is reported with "
         "file and line, exit code 2. A change takes a restart.\nExamples: "
         "`examples/tracciamare/`, `examples/cepl/`. "
         "`catkintack check-settings --reference` prints this list:\n\n```\n" +
         daemon::settings_reference() +
         "```\n\nTogether: each address serves one purpose, and `stop_limit` is at least "
         "`default_time_left`.\n";
}

TEST(settings_page, matches_the_settings_reference) {
  check_golden_file("../../docs/operators/settings.md", settings_page());
}

}  // namespace
}  // namespace catkintack::tests
