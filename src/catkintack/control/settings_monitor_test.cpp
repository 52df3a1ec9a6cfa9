#include "catkintack/control/settings_monitor.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <vector>

namespace catkintack::control {
namespace {

namespace asio = boost::asio;

struct monitored_file {
  monitored_file() = default;
  ~monitored_file() { std::filesystem::remove(path); }
  monitored_file(const monitored_file&) = delete;
  monitored_file& operator=(const monitored_file&) = delete;
  monitored_file(monitored_file&&) = delete;
  monitored_file& operator=(monitored_file&&) = delete;

  void write(const std::string& seeds) const {
    std::ofstream(path)
        << "[host]\nid = h\nregion = east\nfailure_domain = one\n[regions]\none = east\n"
           "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n"
           "[registry]\naddress = 127.0.0.1:4\n[peers]\nseeds = "
        << seeds << "\n";
  }

  std::filesystem::path path = std::filesystem::temp_directory_path() /
                               ("catkintack-settings-" + std::to_string(getpid()) + ".ini");
  asio::io_context io;
  std::vector<std::string> log_lines;
  logging::structured_log log{[] { return base::wall_time(); }, base::system_clock_hook(),
                              [this](const std::string& line) { log_lines.push_back(line); }};
  std::vector<std::size_t> seed_counts;
  settings_monitor monitor{
      (write("10.0.0.1:1"), io.get_executor()), log, path.string(),
      [this](const host_settings& read) { seed_counts.push_back(read.seeds.size()); }};
};

// Guards against settings that take effect only after a signal, which may not come.
TEST(settings_monitor, changed_file_is_read_without_a_signal) {
  monitored_file file;
  file.monitor.check();
  EXPECT_TRUE(file.seed_counts.empty());
  file.write("10.0.0.1:1,10.0.0.2:1");
  file.monitor.check();
  file.monitor.check();
  EXPECT_EQ(file.seed_counts, (std::vector<std::size_t>{2}));
}

TEST(settings_monitor, reload_reads_an_unchanged_file) {
  monitored_file file;
  EXPECT_TRUE(file.monitor.reload());
  EXPECT_EQ(file.seed_counts, (std::vector<std::size_t>{1}));
}

// Guards against a file that is read while it is written.
TEST(settings_monitor, settings_in_force_are_kept_while_the_file_is_invalid) {
  monitored_file file;
  std::ofstream(file.path) << "[host]\n";
  file.monitor.check();
  std::filesystem::remove(file.path);
  file.monitor.check();
  EXPECT_TRUE(file.seed_counts.empty());
  EXPECT_FALSE(file.monitor.reload());
  EXPECT_TRUE(std::ranges::all_of(file.log_lines, [](const std::string& line) {
    return line.find("reload_failed") != std::string::npos;
  }));
  file.write("10.0.0.1:1,10.0.0.2:1,10.0.0.3:1");
  file.monitor.check();
  EXPECT_EQ(file.seed_counts, (std::vector<std::size_t>{3}));
}

}  // namespace
}  // namespace catkintack::control
