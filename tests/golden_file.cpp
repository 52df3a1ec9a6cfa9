#include "golden_file.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

namespace catkintack::tests {
namespace {

constexpr std::size_t context_lines = 4;
constexpr std::size_t shown_lines = 12;

using line_list = std::vector<std::string>;

line_list split(const std::string& text) {
  line_list lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    lines.push_back(line);
  }
  return lines;
}

std::size_t common_prefix(const line_list& left, const line_list& right) {
  const auto [end, unused] = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
  return static_cast<std::size_t>(end - left.begin());
}

/// Lines at the end that agree, not counting a common prefix.
std::size_t common_suffix(const line_list& left, const line_list& right, std::size_t prefix) {
  const std::size_t limit = std::min(left.size(), right.size()) - prefix;
  std::size_t count = 0;
  while (count < limit && left[left.size() - 1 - count] == right[right.size() - 1 - count]) {
    ++count;
  }
  return count;
}

void show(std::ostream& out,
          const char* mark,
          const line_list& lines,
          std::size_t first,
          std::size_t end) {
  const std::size_t last = std::min(end, first + shown_lines);
  for (std::size_t index = first; index < last; ++index) {
    out << mark << lines[index] << "\n";
  }
  if (last < end) {
    out << mark << "(" << end - last << " more lines)\n";
  }
}

}  // namespace

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string first_difference(const std::string& recorded, const std::string& actual) {
  if (recorded == actual) {
    return "";
  }
  const line_list left = split(recorded);
  const line_list right = split(actual);
  const std::size_t prefix = common_prefix(left, right);
  const std::size_t suffix = common_suffix(left, right, prefix);
  std::ostringstream out;
  out << "@@ line " << prefix + 1 << "\n";
  show(out, " ", left, prefix - std::min(prefix, context_lines), prefix);
  show(out, "-", left, prefix, left.size() - suffix);
  show(out, "+", right, prefix, right.size() - suffix);
  show(out, " ", left, left.size() - suffix,
       left.size() - suffix + std::min(suffix, context_lines));
  if (left == right) {
    out << "only the last line's end differs\n";
  }
  return out.str();
}

void check_golden_file(const std::filesystem::path& path, const std::string& actual) {
  const std::filesystem::path recorded = std::filesystem::path(GOLDEN_FOLDER) / path;
  if (std::getenv("CATKINTACK_GOLDEN_UPDATE") != nullptr) {
    std::ofstream(recorded) << actual;
  }
  EXPECT_TRUE(std::filesystem::exists(recorded)) << recorded << " does not exist";
  const std::string difference = first_difference(read_file(recorded), actual);
  EXPECT_TRUE(difference.empty()) << recorded.filename().string()
                                  << " differs (- recorded, + now):\n"
                                  << difference;
}

}  // namespace catkintack::tests
