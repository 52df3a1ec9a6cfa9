#include "catkintack/config/parse_json.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace catkintack::config {
namespace {

using nlohmann::json;

bool is_nested_too_deeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string && c == '\\') {
      ++i;  // The next character is escaped.
    } else if (c == '"') {
      in_string = !in_string;
    } else if (!in_string && (c == '[' || c == '{')) {
      ++depth;
    } else if (!in_string && (c == ']' || c == '}')) {
      --depth;
    }
    if (depth > max_json_depth) {
      return true;
    }
  }
  return false;
}

}  // namespace

json parse_json(const std::string& text) {
  if (is_nested_too_deeply(text)) {
    constexpr int error_id = 501;  // The library's number for errors without one of their own.
    throw json::other_error::create(
        error_id, "the JSON is nested deeper than " + std::to_string(max_json_depth) + " levels",
        nullptr);
  }
  return json::parse(text);
}

std::optional<std::uint64_t> whole_number(const json& value, std::uint64_t min, std::uint64_t max) {
  if (!value.is_number_unsigned()) {
    return std::nullopt;
  }
  const auto number = value.get<std::uint64_t>();
  return number >= min && number <= max ? std::optional(number) : std::nullopt;
}

}  // namespace catkintack::config
