#include "catkintack/base/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace catkintack::base {

std::optional<address> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const std::string ip = text.substr(0, colon);
  in_addr parsed{};
  const bool without_null = ip.find('\0') == std::string::npos;
  if (!without_null || inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* const begin = text.data() + colon + 1;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(begin, end, port);
  if (error != std::errc{} || rest != end || port == 0) {
    return std::nullopt;
  }
  return address{ip, port};
}

std::string to_string(const address& value) { return value.ip + ":" + std::to_string(value.port); }

}  // namespace catkintack::base
