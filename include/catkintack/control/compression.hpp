/// @file
/// Compression of messages between hosts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace catkintack::control {

/// @brief Compresses bytes; short ones are kept as they are.
std::string compress(const std::string& bytes);

/// @brief Restores the bytes.
/// @param max_size Largest result in bytes.
/// @return Nothing if the input is malformed or the result would be larger.
std::optional<std::string> decompress(const std::string& compressed, std::size_t max_size);

}  // namespace catkintack::control
