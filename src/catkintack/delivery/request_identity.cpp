#include "catkintack/delivery/request_identity.hpp"

#include <charconv>
#include <string_view>

namespace catkintack::delivery {
namespace {

constexpr std::size_t max_id_length = 128;
constexpr const char* unique_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";

/// Removes and returns the last part, with the dot before it; returns nothing if there is no dot.
std::optional<std::string_view> take_last_part(std::string_view& text) {
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view last = text.substr(dot + 1);
  text = text.substr(0, dot);
  return last;
}

/// Parses a number only in the form that to_string() writes, so that equal ids have equal text.
std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [rest, error] = std::from_chars(text.begin(), text.end(), value);
  if (error != std::errc{} || rest != text.end() || (text.size() > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::optional<request_identity> parse_request_id(const base::request_id& id) {
  std::string_view rest = id.value();
  const auto unique = take_last_part(rest);
  const auto epoch = take_last_part(rest);
  const auto run = take_last_part(rest);
  if (!run || rest.empty() || unique->empty() || id.value().size() > max_id_length ||
      unique->find_first_not_of(unique_characters) != std::string_view::npos) {
    return std::nullopt;
  }
  const auto epoch_number = parse_number(*epoch);
  const auto run_number = parse_number(*run);
  if (!epoch_number || !run_number) {
    return std::nullopt;
  }
  return request_identity{{base::host_id(std::string(rest)), base::incarnation(*run_number)},
                          *epoch_number,
                          std::string(*unique)};
}

std::string make_token(const host_incarnation& owner, std::uint64_t epoch) {
  return to_string(owner) + "." + std::to_string(epoch);
}

std::string to_string(const host_incarnation& owner) {
  return owner.host.value() + "." + std::to_string(owner.run.value());
}

}  // namespace catkintack::delivery
