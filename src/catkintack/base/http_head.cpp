#include "catkintack/base/http_head.hpp"

#include <algorithm>
#include <charconv>

namespace catkintack::base {
namespace {

constexpr std::string_view line_end = "\r\n";

bool is_digit(char c) { return c >= '0' && c <= '9'; }

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool is_token_char(char c) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return is_digit(c) || (to_lower(c) >= 'a' && to_lower(c) <= 'z') ||
         marks.find(c) != std::string_view::npos;
}

bool is_text_char(char c) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char delete_char = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= first_printable && byte != delete_char);
}

bool equals_ignoring_case(std::string_view one, std::string_view other) {
  return std::ranges::equal(one, other, {}, to_lower, to_lower);
}

std::string_view trim(std::string_view text) {
  constexpr std::string_view blanks = " \t";
  const std::size_t first = text.find_first_not_of(blanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

http_head_fault check_status_line(std::string_view line, bool& is_http_1_1) {
  constexpr std::string_view prefix = "HTTP/1.";
  constexpr std::size_t version_size = 8;
  constexpr std::size_t status_size = 3;
  if (!line.starts_with(prefix) || line.size() < version_size ||
      (line[version_size - 1] != '0' && line[version_size - 1] != '1')) {
    return http_head_fault::version;
  }
  is_http_1_1 = line[version_size - 1] == '1';
  line.remove_prefix(version_size);
  if (line.size() < status_size + 2 || line[0] != ' ' ||
      !std::ranges::all_of(line.substr(1, status_size), is_digit) || line[1 + status_size] != ' ') {
    return http_head_fault::status;
  }
  const std::string_view status = line.substr(1, status_size);
  if (status[0] < '1' || status[0] > '5' || status == "101") {
    return http_head_fault::status;
  }
  return std::ranges::all_of(line.substr(1 + status_size), is_text_char) ? http_head_fault::none
                                                                         : http_head_fault::reason;
}

bool is_valid_length(std::string_view value) {
  std::int64_t length = 0;
  const char* const end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, length);
  return std::ranges::all_of(value, is_digit) && error == std::errc{} && rest == end;
}

/// @brief The fields that delimit the body.
struct framing {
  int lengths = 0;
  int codings = 0;
};

http_head_fault check_field_line(std::string_view line, framing& seen) {
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || name.empty() ||
      !std::ranges::all_of(name, is_token_char)) {
    return http_head_fault::field_name;
  }
  const std::string_view value = line.substr(colon + 1);
  if (!std::ranges::all_of(value, is_text_char)) {
    return http_head_fault::field_value;
  }
  if (equals_ignoring_case(name, "Content-Length") &&
      (++seen.lengths > 1 || !is_valid_length(trim(value)))) {
    return http_head_fault::content_length;
  }
  if (equals_ignoring_case(name, "Transfer-Encoding") &&
      (++seen.codings > 1 || !equals_ignoring_case(trim(value), "chunked"))) {
    return http_head_fault::transfer_coding;
  }
  return http_head_fault::none;
}

}  // namespace

http_head_fault check_response_head(std::string_view head) {
  bool is_http_1_1 = false;
  framing seen;
  bool first = true;
  while (!head.empty() && !head.starts_with(line_end)) {
    const std::size_t end = head.find(line_end);
    const std::string_view line = head.substr(0, end);
    const http_head_fault fault =
        first ? check_status_line(line, is_http_1_1) : check_field_line(line, seen);
    if (fault != http_head_fault::none) {
      return fault;
    }
    first = false;
    head.remove_prefix(end == std::string_view::npos ? head.size() : end + line_end.size());
  }
  if (first) {
    return http_head_fault::version;
  }
  return seen.codings > 0 && (seen.lengths > 0 || !is_http_1_1) ? http_head_fault::transfer_coding
                                                                : http_head_fault::none;
}

}  // namespace catkintack::base
