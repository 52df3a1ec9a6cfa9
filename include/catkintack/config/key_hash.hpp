/// @file
/// Hashes customers' keys.
#pragma once

#include <string>

namespace catkintack::config {

/// @brief Returns the SHA-256 of a key as 64 lower-case hexadecimal digits.
/// @param key The key as sent by the caller.
std::string hash_key(const std::string& key);

}  // namespace catkintack::config
