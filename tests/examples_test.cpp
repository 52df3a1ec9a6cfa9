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
constexpr std::size_t endpoints_per_user = 48;

std::filesystem::path folder_of(const std::string& user) {
  return std::filesystem::path(GOLDEN_FOLDER) / "../../examples" / user;
}

std::vector<std::filesystem::path> settings_files(const std::string& user) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder_of(user))) {
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

TEST_P(examples, settings_pass_the_check_and_agree_with_the_host_list) {
  const auto hosts = net::parse_host_list(read_file(folder_of(GetParam()) / "hosts.json"));
  ASSERT_TRUE(hosts);
  EXPECT_EQ(hosts.value().gateways.size(), hosts_per_user);
  EXPECT_EQ(hosts.value().upstreams.size(), endpoints_per_user);
  std::set<base::service_id> listed;
  for (const routing::upstream_record& upstream : hosts.value().upstreams) {
    listed.insert(upstream.service);
  }
  EXPECT_EQ(listed.size(), services_per_user);
  const auto files = settings_files(GetParam());
  EXPECT_EQ(files.size(), hosts_per_user);
  for (const auto& file : files) {
    const daemon::settings read = read_example(file);
    const auto& gateways = hosts.value().gateways;
    const auto same_host = [&read](const auto& record) { return record.host == read.host; };
    const auto record = std::find_if(gateways.begin(), gateways.end(), same_host);
    ASSERT_NE(record, gateways.end()) << file;
    EXPECT_EQ(record->callers, read.callers) << file;
    EXPECT_EQ(record->peers, read.peers) << file;
    EXPECT_EQ(record->admin, read.admin) << file;
    EXPECT_EQ(record->failure_domain, read.failure_domain) << file;
    for (const auto& [service, unused] : read.services) {
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

TEST(settings_page, agrees_with_the_reference) {
  check_golden_file("../../docs/operators/settings.md", settings_page());
}

}  // namespace
}  // namespace catkintack::tests
