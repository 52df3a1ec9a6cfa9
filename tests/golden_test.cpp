#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <vector>

#include "golden_file.hpp"
#include "session.hpp"

namespace catkintack::tests {
namespace {

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

TEST_P(golden_test, session_produces_the_recorded_timeline) {
  const std::filesystem::path folder = GOLDEN_FOLDER;
  const std::string script = read_file(folder / (GetParam() + ".session"));
  check_golden_file(GetParam() + ".timeline", run_session(script));
}

INSTANTIATE_TEST_SUITE_P(sessions,
                         golden_test,
                         ::testing::ValuesIn(session_names()),
                         [](const auto& tested) { return tested.param; });

}  // namespace
}  // namespace catkintack::tests
