#include "catkintack/base/request_rate.hpp"

#include <array>
#include <charconv>

namespace catkintack::base {

std::string to_string(const std::optional<request_rate>& rate) {
  if (!rate) {
    return "none";
  }
  constexpr std::size_t longest_double = 32;
  std::array<char, longest_double> text{};
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), rate->per_second());
  return {text.data(), end};
}

}  // namespace catkintack::base
