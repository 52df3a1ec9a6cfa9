/// @file
/// An IP address with a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace catkintack::base {

/// @brief An IPv4 address and port.
struct address {
  std::string ip;          ///< Dotted IPv4 address.
  std::uint16_t port = 0;  ///< Port, 1 to 65535; 0 if the address is not set.

  auto operator<=>(const address&) const = default;

  /// @brief Serializes the address with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// @brief Parses "ip:port".
/// @return The address, or nothing when the text is not an IPv4 address with a port of 1 to 65535.
std::optional<address> parse_address(const std::string& text);

/// @brief Formats an address as "ip:port".
std::string to_string(const address& value);

}  // namespace catkintack::base
