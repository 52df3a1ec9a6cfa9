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
constexpr std::size_t max_shown_lines = 12;

using line_list = std::vector<std::string>;

line_list split_lines(const std::string& text) {
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

/// Number of equal lines at the end, excluding the common prefix.
std::size_t common_suffix(const line_list& left, const line_list& right, std::size_t prefix) {
  const std::size_t limit = std::min(left.size(), right.size()) - prefix;
  std::size_t count = 0;
  while (count < limit && left[left.size() - 1 - count] == right[right.size() - 1 - count]) {
    ++count;
  }
  return count;
}

void print_lines(std::ostream& out,
                 const char* line_prefix,
                 const line_list& lines,
                 std::size_t first,
                 std::size_t end) {
  const std::size_t last = std::min(end, first + max_shown_lines);
  for (std::size_t index = first; index < last; ++index) {
    out << line_prefix << lines[index] << "\n";
  }
  if (last < end) {
    out << line_prefix << "(" << end - last << " more lines)\n";
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
  const line_list left = split_lines(recorded);
  const line_list right = split_lines(actual);
  const std::size_t prefix = common_prefix(left, right);
  const std::size_t suffix = common_suffix(left, right, prefix);
  std::ostringstream out;
  out << "@@ line " << prefix + 1 << "\n";
  print_lines(out, " ", left, prefix - std::min(prefix, context_lines), prefix);
  print_lines(out, "-", left, prefix, left.size() - suffix);
  print_lines(out, "+", right, prefix, right.size() - suffix);
  print_lines(out, " ", left, left.size() - suffix,
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
