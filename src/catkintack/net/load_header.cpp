#include "catkintack/net/load_header.hpp"

#include <charconv>
#include <sstream>

namespace catkintack::net {
namespace {

std::optional<std::uint32_t> parse_field(const std::string& word, const std::string& name) {
  const std::string prefix = name + "=";
  if (word.rfind(prefix, 0) != 0) {
    return std::nullopt;
  }
  std::uint32_t value = 0;
  const char* const begin = word.data() + prefix.size();
  const char* const end = word.data() + word.size();
  const auto [rest, error] = std::from_chars(begin, end, value);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string to_text(const routing::load_report& report) {
  return "running=" + std::to_string(report.running) + " queued=" + std::to_string(report.queued) +
         " leaving=" + (report.leaving ? "1" : "0");
}

std::optional<routing::load_report> parse_load_report(const std::string& text) {
  std::istringstream words(text);
  std::string running;
  std::string queued;
  std::string leaving;
  std::string excess;
  if (!(words >> running >> queued >> leaving) || words >> excess) {
    return std::nullopt;
  }
  const auto running_count = parse_field(running, "running");
  const auto queued_count = parse_field(queued, "queued");
  const auto leaving_flag = parse_field(leaving, "leaving");
  if (!running_count || !queued_count || !leaving_flag || *leaving_flag > 1) {
    return std::nullopt;
  }
  return routing::load_report{*running_count, *queued_count, *leaving_flag == 1};
}

}  // namespace catkintack::net
