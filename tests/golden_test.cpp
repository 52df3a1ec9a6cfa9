#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include "session.hpp"

namespace catkintack::tests {
namespace {

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> session_names() {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(GOLDEN_FOLDER)) {
    if (entry.path().extension() == ".session") {
      names.push_back(entry.path().stem().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

class golden_test : public ::testing::TestWithParam<std::string> {};

// Set CATKINTACK_GOLDEN_UPDATE=1 to write the time lines anew; CI never does.
TEST_P(golden_test, gives_the_recorded_time_line) {
  const std::filesystem::path folder = GOLDEN_FOLDER;
  const std::string actual = run_session(read_file(folder / (GetParam() + ".session")));
  const std::filesystem::path recorded = folder / (GetParam() + ".timeline");
  if (std::getenv("CATKINTACK_GOLDEN_UPDATE") != nullptr) {
    std::ofstream(recorded) << actual;
  }
  EXPECT_EQ(actual, read_file(recorded));
}

INSTANTIATE_TEST_SUITE_P(sessions,
                         golden_test,
                         ::testing::ValuesIn(session_names()),
                         [](const auto& tested) { return tested.param; });

}  // namespace
}  // namespace catkintack::tests
